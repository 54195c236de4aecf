const BYTES_PER_HASH = 4

/** Encodes hashes of 32 bits in four bytes each, the lowest byte first. @internal */
export function encodeHashes(hashes: ReadonlySet<number>): Uint8Array<ArrayBuffer> {
  const bytes = new Uint8Array(hashes.size * BYTES_PER_HASH)
  const view = new DataView(bytes.buffer)
  let offset = 0
  for (const hash of hashes) {
    view.setUint32(offset, hash, true)
    offset += BYTES_PER_HASH
  }
  return bytes
}

/** Decodes what `encodeHashes` encoded; bytes after the last whole hash are ignored. @internal */
export function decodeHashes(bytes: Uint8Array): ReadonlySet<number> {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const hashes = new Set<number>()
  const last = bytes.byteLength - BYTES_PER_HASH
  for (let offset = 0; offset <= last; offset += BYTES_PER_HASH) {
    hashes.add(view.getUint32(offset, true))
  }
  return hashes
}
