import { create, toBinary } from '@bufbuild/protobuf'
import { ControlSnapshotSchema } from '@cherryhitch/protocol'
import type { ControlSnapshot } from '@cherryhitch/protocol'
import { Effect } from 'effect'

/** Records per slice: they take a few milliseconds, so that encoding never delays a heartbeat. */
const RECORDS_PER_SLICE = 200

/**
 * Encodes a snapshot in slices and yields to other fibers in between. The encoding of a protobuf
 * message may be split between items of its repeated fields: the concatenated parts are the
 * message.
 *
 * @internal
 */
export function encodeSnapshot(snapshot: ControlSnapshot): Effect.Effect<Uint8Array> {
  return Effect.gen(function* () {
    const parts: Uint8Array[] = []
    for (const slice of slicesOf(snapshot)) {
      parts.push(toBinary(ControlSnapshotSchema, slice))
      yield* Effect.yieldNow
    }
    return Buffer.concat(parts)
  })
}

function* slicesOf(snapshot: ControlSnapshot): Generator<ControlSnapshot> {
  const { audit, claims, recentAnswers } = snapshot
  yield { ...snapshot, audit: [], claims: [], recentAnswers: [] }
  for (const slice of slicesOfRecords(audit)) yield create(ControlSnapshotSchema, { audit: slice })
  for (const slice of slicesOfRecords(claims))
    yield create(ControlSnapshotSchema, { claims: slice })
  for (const slice of slicesOfRecords(recentAnswers)) {
    yield create(ControlSnapshotSchema, { recentAnswers: slice })
  }
}

function* slicesOfRecords<T>(items: readonly T[]): Generator<T[]> {
  for (let at = 0; at < items.length; at += RECORDS_PER_SLICE) {
    yield items.slice(at, at + RECORDS_PER_SLICE)
  }
}
