import { createHash } from 'node:crypto'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { decodeRouting } from '@cherryhitch/platform'
import type { RoutingState, RoutingTable } from '@cherryhitch/protocol'

/**
 * Compresses the operator's document for the control log. A configuration with 350 routes shrinks
 * from some 80 kB to a tenth; hundreds of changes a day have to fit on a small disk.
 *
 * @internal
 */
export function compressDocument(document: string): Uint8Array {
  return new Uint8Array(deflateRawSync(document))
}

/** @internal */
export function decompressDocument(compressed: Uint8Array): string {
  return inflateRawSync(compressed).toString('utf8')
}

/** Hexadecimal digits of a digest in the log; enough to tell the changes of a day apart. */
const DIGEST_DIGITS = 12

/** Fields by which log lines tell documents apart. @internal */
export interface DocumentFields {
  /** Length in UTF-8. */
  readonly bytes: number
  /** Start of the SHA-256 of the document as it was sent, in hexadecimal. */
  readonly digest: string
}

/** @internal */
export function describeDocument(document: string): DocumentFields {
  const digest = createHash('sha256').update(document).digest('hex').slice(0, DIGEST_DIGITS)
  return { bytes: Buffer.byteLength(document), digest }
}

/** The routing table of a committed state; undefined while there is none. @internal */
export function routingTableOf(state: RoutingState | undefined): RoutingTable | undefined {
  if (state === undefined || state.version === 0) return undefined
  // Can't fail: the document was validated before it was stored.
  return decodeRouting(decompressDocument(state.document)).unwrap()
}
