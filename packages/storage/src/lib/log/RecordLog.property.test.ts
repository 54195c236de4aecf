import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Effect, Result } from 'effect'
import fc from 'fast-check'
import { DiskOperation } from '../disk/Disk'
import { MemoryDisk } from '../disk/MemoryDisk'
import type { StorageError } from '../errors/StorageError'
import { LOG_NAME, errorOf, openLog, readLog, toRecords, toTexts } from '../testing/storageFixture'
import { RecordLog } from './RecordLog'

const SEED = 20261202
const RUNS = 1000

enum StepKind {
  Append = 'append',
  Truncate = 'truncate',
  Drop = 'drop',
}

interface Step {
  readonly kind: StepKind
  /** Sizes of the appended records. */
  readonly sizes: readonly number[]
  /** Fraction of the log that a truncation keeps or a drop removes. */
  readonly share: number
  /** The disk halts after this many mutating operations, until the next restart. */
  readonly haltAfter: number | undefined
  /** The next sync fails, without a machine crash. */
  readonly failSync: boolean
  /** The next open fails after this many mutating operations, followed by another crash. */
  readonly haltOpenAfter: number | undefined
  readonly restart: boolean
  readonly crash: boolean
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(StepKind.Append, StepKind.Append, StepKind.Truncate, StepKind.Drop),
  sizes: fc.array(fc.nat(90), { minLength: 1, maxLength: 4 }),
  share: fc.double({ min: 0, max: 1, noNaN: true }),
  haltAfter: fc.option(fc.nat(12), { nil: undefined, freq: 2 }),
  failSync: fc.boolean(),
  haltOpenAfter: fc.option(fc.nat(4), { nil: undefined, freq: 1 }),
  restart: fc.boolean(),
  crash: fc.boolean(),
})

/** A log and every content that it may validly have when it is next opened. */
class Trial {
  private allowed: string[][] = [[]]
  private createdCount = 0

  private constructor(
    private readonly disk: MemoryDisk,
    private log: RecordLog,
  ) {}

  static async start(disk: MemoryDisk): Promise<Trial> {
    return new Trial(disk, await openLog(disk))
  }

  async take(step: Step): Promise<void> {
    if (step.haltAfter !== undefined) this.disk.haltAfter(step.haltAfter)
    if (step.failSync) this.disk.fail({ operation: DiskOperation.Sync })
    const failed = await this.change(step)
    if (failed || step.restart || step.crash) await this.reopen(step)
  }

  /** Performs the change and records the contents that are valid after it. */
  private async change({ kind, sizes, share }: Step): Promise<boolean> {
    const [now = []] = this.allowed
    const count = Math.floor(share * now.length)
    switch (kind) {
      case StepKind.Append: {
        const texts = sizes.map((size) => `${++this.createdCount}:`.padEnd(size, '.'))
        const partial = texts.map((_, i) => [...now, ...texts.slice(0, i)])
        return this.attempt(this.log.append(toRecords(texts)), [...now, ...texts], partial)
      }
      case StepKind.Truncate: {
        const partial = now.slice(count).map((_, i) => now.slice(0, count + i + 1))
        return this.attempt(this.log.truncateAfter(count), now.slice(0, count), partial)
      }
      case StepKind.Drop:
        return this.attempt(this.log.dropFirst(count), now.slice(count), [])
    }
  }

  private async attempt(
    change: Effect.Effect<void, StorageError>,
    done: string[],
    partial: string[][],
  ): Promise<boolean> {
    const outcome = await Effect.runPromise(Effect.result(change))
    if (Result.isSuccess(outcome)) {
      this.allowed = [done]
      assert.equal(this.log.length, done.length)
      return false
    }
    await errorOf(this.log.append(toRecords(['refused'])))
    this.allowed = [...this.allowed, ...partial, done]
    return true
  }

  /** Restarts the process or, with a crash, the machine. */
  private async reopen({ crash, haltOpenAfter }: Step): Promise<void> {
    if (crash) this.disk.crash()
    else this.disk.clearFaults()
    if (haltOpenAfter !== undefined) {
      this.disk.haltAfter(haltOpenAfter)
      await Effect.runPromise(Effect.result(RecordLog.open(this.disk, LOG_NAME)))
      this.disk.crash()
    }
    this.log = await openLog(this.disk)
    const found = toTexts(this.log.records)
    this.checkAllowed(found)
    this.allowed = [found]
  }

  async end(): Promise<void> {
    this.disk.crash()
    this.checkAllowed(await readLog(this.disk))
  }

  private checkAllowed(found: string[]): void {
    const isAllowed = this.allowed.some((texts) => String(texts) === String(found))
    assert.ok(isAllowed, `found ${String(found)}`)
  }
}

function holds(makeDisk: (seed: number) => MemoryDisk) {
  return fc.asyncProperty(
    fc.nat(),
    fc.array(stepArbitrary, { maxLength: 25 }),
    async (seed, steps) => {
      const trial = await Trial.start(makeDisk(seed))
      for (const step of steps) await trial.take(step)
      await trial.end()
    },
  )
}

/** Reports file syncs as done without performing them. */
class NoFileSyncDisk extends MemoryDisk {
  override sync(): Effect.Effect<void, StorageError> {
    return Effect.void
  }
}

/** Reports folder syncs as done without performing them. */
class NoFolderSyncDisk extends MemoryDisk {
  override syncFolder(): Effect.Effect<void, StorageError> {
    return Effect.void
  }
}

describe('a log under random changes, faults, crashes and restarts', () => {
  it('keeps acknowledged records and at most a prefix of the rest', async () => {
    await fc.assert(
      holds((seed) => new MemoryDisk({ seed })),
      { seed: SEED, numRuns: RUNS },
    )
  })

  for (const Broken of [NoFileSyncDisk, NoFolderSyncDisk]) {
    it(`fails the property on a ${Broken.name}`, async () => {
      const outcome = await fc.check(
        holds((seed) => new Broken({ seed })),
        { seed: SEED, numRuns: RUNS, endOnFailure: true },
      )
      assert.equal(outcome.failed, true)
    })
  }
})
