import { createHash } from 'node:crypto'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { Err } from '@cherryhitch/model'
import { readStoredRouting } from '@cherryhitch/platform'
import type { StoredRouting } from '@cherryhitch/platform'
import type { RoutingState, RoutingTable } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import type { Result } from 'ts-results'

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

/**
 * The routing table of a committed state; undefined while there is none, or if nothing of it can be
 * read. An earlier build may have stored what this one would refuse, and an exception would end
 * every instance, so what can't be read is left out and logged.
 *
 * @internal
 */
export function routingTableOf(
  state: RoutingState | undefined,
  log: PartLog,
): RoutingTable | undefined {
  if (state === undefined || state.version === 0) return undefined
  const { version } = state
  const read = readDocument(state)
  if (read.err) {
    log.error('the stored routing configuration cannot be read', { version, reason: read.val })
    return undefined
  }
  const { table, unreadable } = read.val
  if (unreadable.length > 0) {
    log.error('routes of the stored configuration cannot be read', { version, unreadable })
  }
  return table
}

function readDocument({ version, document }: RoutingState): Result<StoredRouting, string> {
  try {
    return readStoredRouting(decompressDocument(document), version)
  } catch (err) {
    return Err(String(err))
  }
}
