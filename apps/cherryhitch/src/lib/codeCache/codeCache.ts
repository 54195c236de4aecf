/**
 * Files with compiled code. V8 accepts compiled code only if it was made by the same version of V8
 * with the same options, but of the source it compares only the length. So each file begins with a
 * hash of the source.
 */
import { createHash } from 'node:crypto'
import fs from 'node:fs'
import path from 'node:path'

const HASH_ALGORITHM = 'sha256'
const HASH_BYTES = 32

function hashOf(source: string): Buffer {
  return createHash(HASH_ALGORITHM).update(source).digest()
}

/**
 * Path of the code cache of a bundled program for one role. Roles have separate files, as each runs
 * with its own options.
 *
 * @internal
 */
export function codeCacheFile(programFile: string, role: string): string {
  return path.join(path.dirname(programFile), `${role}.codecache`)
}

/** Compiled code of the source; undefined if the file is missing or of another source. @internal */
export function readCodeCache(file: string, source: string): Buffer | undefined {
  if (!fs.existsSync(file)) return undefined
  const bytes = fs.readFileSync(file)
  if (!bytes.subarray(0, HASH_BYTES).equals(hashOf(source))) return undefined
  return bytes.subarray(HASH_BYTES)
}

/** Stores the compiled code of the source. @internal */
export function writeCodeCache(file: string, source: string, code: Buffer): void {
  const partial = `${file}.partial`
  fs.writeFileSync(partial, Buffer.concat([hashOf(source), code]))
  fs.renameSync(partial, file)
}
