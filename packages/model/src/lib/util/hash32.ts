const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193

/**
 * Stable, non-cryptographic 32-bit hash: FNV-1a over UTF-16 code units, with a finalizer so that
 * similar texts differ in all bits.
 *
 * @public
 */
export function hash32(text: string, seed = OFFSET_BASIS): number {
  let hash = seed
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), PRIME)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
