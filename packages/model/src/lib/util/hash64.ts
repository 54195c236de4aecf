const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193
const SECOND_SEED = 0x9e3779b9
const HEX_DIGITS = 8

/** FNV-1a over UTF-16 code units, with a finalizer so that similar texts differ in all bits. */
function hash32(text: string, seed: number): number {
  let hash = seed
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), PRIME)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Stable, non-cryptographic 64-bit hash as 16 hexadecimal digits. @public */
export function hash64(text: string): string {
  const high = hash32(text, OFFSET_BASIS).toString(16).padStart(HEX_DIGITS, '0')
  const low = hash32(text, SECOND_SEED).toString(16).padStart(HEX_DIGITS, '0')
  return high + low
}
