import { create, toBinary } from '@bufbuild/protobuf'
import { ControlSnapshotSchema } from '@cherryhitch/protocol'
import type { ControlSnapshot } from '@cherryhitch/protocol'
import { Effect } from 'effect'

/** Records encoded in one go: some milliseconds, so that heartbeats are never late for it. */
const RECORDS_PER_SLICE = 200

/**
 * Encodes a snapshot slice by slice and lets other fibers run in between. One protobuf message
 * may be cut between the items of its lists: the parts put together are the message.
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
  for (const slice of cut(audit)) yield create(ControlSnapshotSchema, { audit: slice })
  for (const slice of cut(claims)) yield create(ControlSnapshotSchema, { claims: slice })
  for (const slice of cut(recentAnswers)) {
    yield create(ControlSnapshotSchema, { recentAnswers: slice })
  }
}

function* cut<T>(items: readonly T[]): Generator<T[]> {
  for (let at = 0; at < items.length; at += RECORDS_PER_SLICE) {
    yield items.slice(at, at + RECORDS_PER_SLICE)
  }
}
