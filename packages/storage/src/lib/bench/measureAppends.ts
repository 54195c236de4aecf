/**
 * Measures synced appends on a real file: `npx tsx packages/storage/src/lib/bench/measureAppends.ts
 * [folder]`. The folder should be on the disk to be measured.
 */
import fs from 'node:fs/promises'
import os from 'node:os'
import path from 'node:path'
import { performance } from 'node:perf_hooks'
import { Effect } from 'effect'
import { SlowDisk } from '../disk/SlowDisk'
import type { StorageError } from '../errors/StorageError'
import { openDataFolder } from '../folder/openDataFolder'
import { RecordLog } from '../log/RecordLog'

const RECORD_BYTES = 200
const TRIAL_MS = 2000
const SYNC_DELAYS_MS = [0, 4]

/** Number of concurrent callers, and the number of records per append. */
const loads = [
  { callers: 1, batch: 1 },
  { callers: 1, batch: 10 },
  { callers: 1, batch: 100 },
  { callers: 100, batch: 1 },
]

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(share * (sorted.length - 1))] ?? NaN
}

/** Appends sequentially until the end time; adds the duration of each append to `durations`. */
function appendUntil(
  log: RecordLog,
  batch: number,
  end: number,
  durations: number[],
): Effect.Effect<void, StorageError> {
  const records = Array.from({ length: batch }, () => Buffer.alloc(RECORD_BYTES, 1))
  return Effect.gen(function* () {
    while (performance.now() < end) {
      const start = performance.now()
      yield* log.append(records)
      durations.push(performance.now() - start)
    }
  })
}

const measure = Effect.fn(function* (
  log: RecordLog,
  { callers, batch }: (typeof loads)[number],
  delay: number,
) {
  const durations: number[] = []
  const start = performance.now()
  const caller = appendUntil(log, batch, start + TRIAL_MS, durations)
  const all = Array.from({ length: callers }, () => caller)
  yield* Effect.all(all, { concurrency: 'unbounded' })
  const seconds = (performance.now() - start) / 1000
  const sorted = durations.sort((a, b) => a - b)
  return {
    'added ms': delay,
    callers,
    batch,
    'appends/s': Math.round(durations.length / seconds),
    'records/s': Math.round((durations.length * batch) / seconds),
    'p50 ms': percentile(sorted, 0.5).toFixed(2),
    'p99 ms': percentile(sorted, 0.99).toFixed(2),
  }
})

/** Measures how long it takes to recover the log that the trial wrote. */
const measureOpen = Effect.fn(function* (disk: SlowDisk, name: string) {
  const start = performance.now()
  yield* RecordLog.open(disk, name)
  return Math.round(performance.now() - start)
})

const main = Effect.fn(function* (folder: string) {
  const { disk } = yield* openDataFolder(folder)
  const rows: object[] = []
  for (const delay of SYNC_DELAYS_MS) {
    for (const load of loads) {
      const slowDisk = new SlowDisk(disk, delay)
      const name = `log-${rows.length}`
      const log: RecordLog = yield* RecordLog.open(slowDisk, name)
      const row = yield* measure(log, load, delay)
      rows.push({ ...row, 'reopen ms': yield* measureOpen(slowDisk, name) })
    }
  }
  console.table(rows)
})

const parent = process.argv[2] ?? os.tmpdir()
const folder = await fs.mkdtemp(path.join(parent, 'cherryhitch-appends-'))
try {
  await Effect.runPromise(Effect.scoped(main(folder)))
} finally {
  await fs.rm(folder, { recursive: true, force: true })
}
