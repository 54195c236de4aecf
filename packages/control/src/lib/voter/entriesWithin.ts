import { toBinary } from '@bufbuild/protobuf'
import { LogEntrySchema } from '@cherryhitch/protocol'
import type { LogEntry } from '@cherryhitch/protocol'

/**
 * The first entries whose encoded size together is at most `maxBytes`, and at least one.
 *
 * @internal
 */
export function entriesWithin(entries: readonly LogEntry[], maxBytes: number): LogEntry[] {
  let bytes = 0
  const end = entries.findIndex((entry, i) => {
    bytes += toBinary(LogEntrySchema, entry).length
    return i > 0 && bytes > maxBytes
  })
  return entries.slice(0, end < 0 ? entries.length : end)
}
