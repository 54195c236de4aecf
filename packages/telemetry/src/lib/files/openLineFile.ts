import { createWriteStream } from 'node:fs'
import fs from 'node:fs/promises'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { TelemetryError, TelemetryErrorKind } from '../errors/TelemetryError'
import { LineWriter, MAX_BUFFERED_BYTES } from './LineWriter'

/** Opens a file for appending lines; flushed and closed with the scope. @internal */
export function openLineFile(file: string): Effect.Effect<LineWriter, TelemetryError, Scope.Scope> {
  const open = Effect.tryPromise({
    try: async () => {
      const stream = (await fs.open(file, 'a')).createWriteStream()
      return new LineWriter(stream, MAX_BUFFERED_BYTES, () =>
        createWriteStream(file, { flags: 'a' }),
      )
    },
    catch: (err) =>
      new TelemetryError(TelemetryErrorKind.File, `cannot open ${file}: ${String(err)}`, err),
  })
  return Effect.acquireRelease(open, (writer) => Effect.promise(() => writer.close()))
}
