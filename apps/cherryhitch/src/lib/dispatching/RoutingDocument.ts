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

/** The routing table of a committed state; undefined while there is none. @internal */
export function routingTableOf(state: RoutingState | undefined): RoutingTable | undefined {
  if (state === undefined || state.version === 0) return undefined
  // Can't fail: the document was validated before it was stored.
  return decodeRouting(decompressDocument(state.document)).unwrap()
}
