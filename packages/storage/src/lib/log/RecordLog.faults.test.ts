import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Effect, Result } from 'effect'
import { DiskOperation } from '../disk/Disk'
import { MemoryDisk } from '../disk/MemoryDisk'
import { StorageErrorKind } from '../errors/StorageError'
import { appendAll, errorOf, openLog, readLog, toRecords } from '../testing/storageFixture'
import { RecordLog } from './RecordLog'

const SEEDS = 8
const start = ['a', 'b', 'c', 'd', 'e', 'f', 'g']

/** Log operations, each with every state that a crash during it may leave. */
const changes = [
  {
    name: 'an append',
    ask: (log: RecordLog) => log.append(toRecords(['x', 'y'])),
    done: [...start, 'x', 'y'],
    partial: [[...start, 'x']],
  },
  {
    name: 'an append that starts a segment',
    ask: (log: RecordLog) =>
      Effect.andThen(
        log.append(toRecords(['long enough to fill it'])),
        log.append(toRecords(['y'])),
      ),
    done: [...start, 'long enough to fill it', 'y'],
    partial: [[...start, 'long enough to fill it']],
  },
  {
    name: 'a truncation over several segments',
    ask: (log: RecordLog) => log.truncateAfter(1),
    done: ['a'],
    partial: [2, 3, 4, 5, 6].map((count) => start.slice(0, count)),
  },
  {
    name: 'a truncation within the last segment',
    ask: (log: RecordLog) => log.truncateAfter(6),
    done: start.slice(0, 6),
    partial: [],
  },
  {
    name: 'a drop within a segment',
    ask: (log: RecordLog) => log.dropFirst(1),
    done: start.slice(1),
    partial: [],
  },
  {
    name: 'a drop over several segments',
    ask: (log: RecordLog) => log.dropFirst(5),
    done: start.slice(5),
    partial: [],
  },
  {
    name: 'a drop of everything',
    ask: (log: RecordLog) => log.dropFirst(7),
    done: [],
    partial: [],
  },
  {
    name: 'a start',
    ask: (_log: RecordLog, disk: MemoryDisk) => Effect.asVoid(RecordLog.open(disk, 'log')),
    done: start,
    partial: [],
  },
]

async function startedLog(seed: number): Promise<{ disk: MemoryDisk; log: RecordLog }> {
  const disk = new MemoryDisk({ seed })
  const log = await openLog(disk)
  await appendAll(log, ['a', 'b'], ['c', 'd'], ['e', 'f'], ['g'])
  return { disk, log }
}

/** Number of mutating disk operations that a log operation performs. */
async function stepsOf(ask: (typeof changes)[number]['ask']): Promise<number> {
  const { disk, log } = await startedLog(0)
  const before = disk.changes
  await Effect.runPromise(ask(log, disk))
  return disk.changes - before
}

const faultyOperations = [
  DiskOperation.Append,
  DiskOperation.Sync,
  DiskOperation.Rename,
  DiskOperation.Remove,
  DiskOperation.SyncFolder,
  DiskOperation.WriteNew,
]

describe('a log on a failing disk', () => {
  for (const { name, ask, done, partial } of changes) {
    const allowed = [start, done, ...partial].map(String)

    it(`recovers after a crash at each step of ${name}`, async () => {
      for (let steps = await stepsOf(ask); steps >= 0; steps--) {
        for (let seed = 0; seed < SEEDS; seed++) {
          const { disk, log } = await startedLog(seed)
          disk.haltAfter(steps)
          const outcome = await Effect.runPromise(Effect.result(ask(log, disk)))
          disk.crash()
          const found = String(await readLog(disk))
          const expected = Result.isSuccess(outcome) ? [String(done)] : allowed
          assert.ok(expected.includes(found), `${found} after ${steps} steps, seed ${seed}`)
        }
      }
    })

    it(`stops when one disk operation of ${name} fails, and loses nothing`, async () => {
      for (const operation of faultyOperations) {
        for (let nth = 1; nth <= (await stepsOf(ask)); nth++) {
          const { disk, log } = await startedLog(nth)
          disk.fail({ operation, nth })
          const outcome = await Effect.runPromise(Effect.result(ask(log, disk)))
          const allowedNow = Result.isSuccess(outcome) ? [String(done)] : allowed
          if (Result.isFailure(outcome) && name !== 'a start') {
            const refusal = await errorOf(log.append(toRecords(['later'])))
            assert.equal(refusal.kind, StorageErrorKind.Stopped)
          }
          disk.clearFaults()
          // The process restarts first; a later crash must not lose what it then reads.
          const found = String(await readLog(disk))
          assert.ok(allowedNow.includes(found), `${found} after ${operation} ${nth}`)
          disk.crash()
          assert.equal(String(await readLog(disk)), found, `${operation} ${nth}`)
        }
      }
    })
  }
})
