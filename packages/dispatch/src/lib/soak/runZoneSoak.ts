import { seededRandom } from '@cherryhitch/model'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from './DispatchSimulation'
import type { ZoneFault } from './SimulatedZones'
import { SIMULATED_ZONES } from './ZoneDrains'

/** @internal */
export interface ZoneSoakOptions {
  readonly fault?: ZoneFault
  /** Whether zones that are cut off serve alone; they do by default. */
  readonly areAlone?: boolean
  /** Whether callers may send a job again to entries of another zone. */
  readonly callersRoam?: boolean
  /**
   * Whether callers hand in jobs again sooner and more often than the platform lets them, and jobs
   * take longer, so that more jobs are with two holders if they can be.
   */
  readonly areCallersHasty?: boolean
  /** Whether entries and dispatching instances restart. */
  readonly hasRestarts?: boolean
  /**
   * Whether entries are lost often while jobs run that last longer than the delay of callers, so that
   * callers submit jobs again that are running.
   */
  readonly losesEntries?: boolean
}

/** @internal */
export interface ZoneSoakReport {
  readonly violations: readonly string[]
  readonly submitted: number
  readonly completed: number
  readonly zoneRounds: number
  readonly zoneJobsTaken: number
  readonly mayRunElsewhere: number
}

/** Three zones, of which two have two dispatching instances, so that any two are a majority. */
const INSTANCES = 5
const STEP_MS = 50
/** Time after which callers send a job of unknown outcome again. */
const RETRANSMIT_MS = 1_300
const HASTY_RETRANSMIT_MS = 100
const MAX_ATTEMPTS = 3
const LONG_RUN_MS = 1_500
/** Longer than the delay of callers and an election. */
const LONGEST_RUN_MS = 2_500
const CHANCES = { lostAnswer: 0.02, lateOrder: 0.02, failedRun: 0.03 }

/**
 * Simulates one randomised run in which zones are cut off, wholly, in part or in one direction,
 * leaders change, processes restart, and callers hand in jobs again.
 *
 * @internal
 */
export function runZoneSoak(
  seed: number,
  steps: number,
  options: ZoneSoakOptions = {},
): ZoneSoakReport {
  const soak = new ZoneSoak(seed, options)
  for (let step = 0; step < steps; step++) soak.step()
  return soak.finish()
}

class ZoneSoak {
  readonly #random: () => number
  readonly #world: DispatchSimulation
  #submitted = 0

  constructor(
    seed: number,
    private readonly options: ZoneSoakOptions,
  ) {
    const { fault, areAlone = true, areCallersHasty = false, losesEntries = false } = options
    const longShare = areCallersHasty || losesEntries ? 0.4 : 0.1
    const longMs = losesEntries ? LONGEST_RUN_MS : LONG_RUN_MS
    this.#random = seededRandom(seed)
    this.#world = new DispatchSimulation({
      leaders: INSTANCES,
      endpoints: 6,
      placesEach: 3,
      random: this.#random,
      runMs: () => (this.#random() < longShare ? longMs : 20 + this.#random() * 200),
      chances: CHANCES,
      resubmitDelayMs: options.areCallersHasty === true ? 0 : RETRANSMIT_MS,
      zones: { entriesPerZone: 2, areAlone, ...(fault !== undefined && { fault }) },
    })
    this.#world.elect(0, 0)
  }

  step(): void {
    this.#world.run(STEP_MS)
    if (this.#random() < 0.7) this.#submitNew()
    if (this.#random() < 0.02) this.#cut()
    if (this.#random() < 0.02) this.#elect(this.#below(1_000))
    if (this.options.hasRestarts === true) this.#restart()
    if (this.#random() < 0.05) {
      const endpoint = this.#below(this.#world.endpoints.length)
      this.#world.cut(`d${this.#below(INSTANCES)}`, `e${endpoint}`, this.#below(2_000))
    }
  }

  finish(): ZoneSoakReport {
    this.#world.run(8_000)
    const verdicts = [...this.#world.outcomes.values()].map(({ verdict }) => verdict)
    const { zones, violations } = this.#world
    return {
      violations,
      submitted: this.#submitted,
      completed: verdicts.filter((verdict) => verdict === JobVerdict.COMPLETED).length,
      zoneRounds: zones?.total('zone_rounds') ?? 0,
      zoneJobsTaken: zones?.total('zone_jobs_taken') ?? 0,
      mayRunElsewhere: zones?.total('zone_may_run_elsewhere') ?? 0,
    }
  }

  #below(n: number): number {
    return Math.floor(this.#random() * n)
  }

  #zone(): string {
    return SIMULATED_ZONES[this.#below(SIMULATED_ZONES.length)] ?? ''
  }

  #entryOf(zone: string): string {
    const entries = this.#world.zones?.entriesOf(zone) ?? []
    return entries[this.#below(entries.length)] ?? ''
  }

  #submitNew(): void {
    const id = `j${this.#submitted++}`
    const zone = this.#zone()
    const leastMs = this.options.losesEntries === true ? LONGEST_RUN_MS : 800
    const job = { id, zone, tasks: 1 + this.#below(3), deadlineMs: leastMs + this.#below(2_000) }
    this.#submit(job, 1)
    const isHasty = this.options.areCallersHasty === true
    // A copy of the request that the caller doesn't know of.
    if (this.#random() >= (isHasty ? 0.4 : 0.05)) return
    const copiedAfterMs = (isHasty ? 0 : RETRANSMIT_MS) + this.#below(1_500)
    this.#world.after(copiedAfterMs, () => {
      this.#submit(job, MAX_ATTEMPTS)
    })
  }

  #submit(job: SoakJob, attempt: number): void {
    const { id, tasks, deadlineMs } = job
    const zone = this.options.callersRoam === true ? this.#zone() : job.zone
    this.#world.submit(id, tasks, { deadlineMs, entry: this.#entryOf(zone) })
    if (attempt < MAX_ATTEMPTS) this.#resubmitIfUnknown(job, attempt)
  }

  /** The caller looks for its answer at short intervals, until some time after its deadline. */
  #resubmitIfUnknown(job: SoakJob, attempt: number, waitedMs = 0): void {
    this.#world.after(STEP_MS, () => {
      const outcome = this.#world.outcomes.get(job.id)
      const isOver = waitedMs > job.deadlineMs + STEP_MS
      if (outcome === undefined && !isOver) {
        this.#resubmitIfUnknown(job, attempt, waitedMs + STEP_MS)
      } else if (outcome?.verdict === JobVerdict.UNKNOWN || isOver) {
        const isHasty = this.options.areCallersHasty === true
        this.#world.after(isHasty ? HASTY_RETRANSMIT_MS : RETRANSMIT_MS, () => {
          this.#submit(job, attempt + 1)
        })
      }
    })
  }

  /** Cuts a zone off, or from one other zone, or in one direction; elects a leader if needed. */
  #cut(): void {
    const zone = this.#zone()
    const kind = this.#random()
    const others = kind < 0.6 ? SIMULATED_ZONES : [this.#zone()]
    const longestMs = this.#random() < 0.2 ? 12_000 : 5_000
    const forMs = this.#random() < 0.3 ? this.#below(600) : 1_000 + this.#below(longestMs)
    const sparesEndpoints = this.#random() < 0.3
    this.#world.zones?.cut(zone, forMs, { others, isOneWay: kind > 0.85, sparesEndpoints })
    if (this.#random() < 0.4) this.#separateEntry(zone)
    this.#elect(300 + this.#below(1_000))
  }

  /** One entry still reaches the other zones; at times it is a new process that does. */
  #separateEntry(zone: string): void {
    const entry = this.#entryOf(zone)
    const forMs = 500 + this.#below(9_000)
    const isRestarted = this.options.hasRestarts === true && this.#random() < 0.5
    this.#world.after(this.#below(3_000), () => {
      this.#world.zones?.separate(entry, forMs)
      if (isRestarted) this.#world.zones?.restartEntry(entry, this.#below(200))
    })
  }

  /** Some time later, elects an instance that a majority can confirm if the leader is not one. */
  #elect(afterMs: number): void {
    const learnsMs = this.#below(2_000)
    const isNeeded = this.#random() < 0.8
    this.#world.after(afterMs, () => {
      const { zones } = this.#world
      const able = Array.from({ length: INSTANCES }, (_, i) => i).filter((i) => {
        return this.#world.isUp(i) && zones?.hasQuorum(i) === true
      })
      const isLeaderAble = able.some((i) => this.#world.isElected(i))
      const next = able[this.#below(able.length)]
      if (next === undefined || (isLeaderAble && isNeeded)) return
      this.#world.elect(next, learnsMs, this.#below(200))
    })
  }

  #restart(): void {
    if (this.#random() < (this.options.losesEntries === true ? 0.1 : 0.02)) {
      this.#world.zones?.restartEntry(this.#entryOf(this.#zone()), this.#below(1_500))
    }
    if (this.#random() < 0.01) {
      this.#world.restart(this.#below(INSTANCES), this.#below(800), 0)
      this.#elect(300 + this.#below(700))
    }
  }
}

interface SoakJob {
  readonly id: string
  readonly zone: string
  readonly tasks: number
  readonly deadlineMs: number
}
