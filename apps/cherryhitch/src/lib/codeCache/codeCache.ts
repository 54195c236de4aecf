/**
 * Files of compiled code. V8 takes one only if it was made by the same V8 with the same options, but
 * compares no more of the source than its length; so each file begins with a hash of the source.
 */
import { createHash } from 'node:crypto'
import fs from 'node:fs'
import path from 'node:path'

const HASH_ALGORITHM = 'sha256'
const HASH_BYTES = 32

function hashOf(source: string): Buffer {
  return createHash(HASH_ALGORITHM).update(source).digest()
}

/** The file that belongs to a role of a bundled program: each role runs with options of its own. @internal */
export function codeCacheFile(programFile: string, role: string): string {
  return path.join(path.dirname(programFile), `${role}.codecache`)
}

/** Compiled code for the source; undefined when there is none, or it was made of another source. @internal */
export function readCodeCache(file: string, source: string): Buffer | undefined {
  if (!fs.existsSync(file)) return undefined
  const bytes = fs.readFileSync(file)
  if (!bytes.subarray(0, HASH_BYTES).equals(hashOf(source))) return undefined
  return bytes.subarray(HASH_BYTES)
}

/** Stores compiled code of the source. @internal */
export function writeCodeCache(file: string, source: string, code: Buffer): void {
  const partial = `${file}.partial`
  fs.writeFileSync(partial, Buffer.concat([hashOf(source), code]))
  fs.renameSync(partial, file)
}
