import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { decodeRouting } from '@cherryhitch/platform'
import type { RoutingState, RoutingTable } from '@cherryhitch/protocol'

/**
 * Packs the operator's document for the log: a configuration with 350 routes shrinks from some
 * 80 kB to a tenth, and hundreds of changes a day have to fit on a small disk.
 *
 * @internal
 */
export function packDocument(document: string): Uint8Array {
  return new Uint8Array(deflateRawSync(document))
}

/** @internal */
export function unpackDocument(packed: Uint8Array): string {
  return inflateRawSync(packed).toString('utf8')
}

/** The routing that a committed state holds; undefined while there is none. @internal */
export function tableOf(state: RoutingState | undefined): RoutingTable | undefined {
  if (state === undefined || state.version === 0) return undefined
  // It was checked before it was stored.
  return decodeRouting(unpackDocument(state.document)).unwrap()
}
