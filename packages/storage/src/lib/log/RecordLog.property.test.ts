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
  /** Records of an append; the share of the log that a truncation keeps or a drop takes. */
  readonly sizes: readonly number[]
  readonly share: number
  /** The disk stands still after so many changes, until the next restart. */
  readonly haltAfter: number | undefined
  /** A fault of the sync, without a crash of the machine. */
  readonly failSync: boolean
  /** The next start fails after so many changes, with another crash. */
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

/** A log, and every content that it may have when it is opened next. */
class Trial {
  private allowed: string[][] = [[]]
  private made = 0

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

  /** Asks for the change; notes what may be there after it. */
  private async change({ kind, sizes, share }: Step): Promise<boolean> {
    const [now = []] = this.allowed
    const count = Math.floor(share * now.length)
    switch (kind) {
      case StepKind.Append: {
        const texts = sizes.map((size) => `${++this.made}:`.padEnd(size, '.'))
        const partly = texts.map((_, i) => [...now, ...texts.slice(0, i)])
        return this.attempt(this.log.append(toRecords(texts)), [...now, ...texts], partly)
      }
      case StepKind.Truncate: {
        const partly = now.slice(count).map((_, i) => now.slice(0, count + i + 1))
        return this.attempt(this.log.truncateAfter(count), now.slice(0, count), partly)
      }
      case StepKind.Drop:
        return this.attempt(this.log.dropFirst(count), now.slice(count), [])
    }
  }

  private async attempt(
    change: Effect.Effect<void, StorageError>,
    done: string[],
    partly: string[][],
  ): Promise<boolean> {
    const outcome = await Effect.runPromise(Effect.result(change))
    if (Result.isSuccess(outcome)) {
      this.allowed = [done]
      assert.equal(this.log.length, done.length)
      return false
    }
    await errorOf(this.log.append(toRecords(['refused'])))
    this.allowed = [...this.allowed, ...partly, done]
    return true
  }

  /** A new process, or with a crash a new start of the machine. */
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

/** Says that a sync is done without doing it. */
class ForgetfulDisk extends MemoryDisk {
  override sync(): Effect.Effect<void, StorageError> {
    return Effect.void
  }
}

/** The same for the names of the folder. */
class NamelessDisk extends MemoryDisk {
  override syncFolder(): Effect.Effect<void, StorageError> {
    return Effect.void
  }
}

describe('a log under random changes, faults, crashes and restarts', () => {
  it('has what it acknowledged and no more than a prefix of the rest', async () => {
    await fc.assert(
      holds((seed) => new MemoryDisk({ seed })),
      { seed: SEED, numRuns: RUNS },
    )
  })

  for (const Broken of [ForgetfulDisk, NamelessDisk]) {
    it(`is caught with a ${Broken.name}`, async () => {
      const outcome = await fc.check(
        holds((seed) => new Broken({ seed })),
        { seed: SEED, numRuns: RUNS, endOnFailure: true },
      )
      assert.equal(outcome.failed, true)
    })
  }
})
