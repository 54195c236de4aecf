import { JobVerdict } from '@cherryhitch/protocol'
import type { JobOutcome } from '@cherryhitch/protocol'
import { grantOfToken, termOfToken } from '../endpoints/fencingToken'
import { isLeaderGrant } from '../zones/ZoneToken'
import type { SimulatedEndpoint } from './SimulatedEndpoint'

/** Interface of the simulation to the checks. @internal */
export interface CheckedWorld {
  readonly endpoints: readonly SimulatedEndpoint[]
  readonly outcomes: ReadonlyMap<string, JobOutcome>
  readonly now: () => number
  /** Whether an endpoint keeps its id when it restarts. */
  readonly keepsIds: () => boolean
}

/** Minimum time for which a leaving endpoint serves and may get tasks, in milliseconds. */
export const DRAIN_MS = 1_000
/** Time after the acknowledgement of a zone's drain in which tasks may still start there. */
export const ZONE_DRAIN_MS = 1_000

/** Checks the invariants of task starts and refusals. @internal */
export class StartChecks {
  readonly violations: string[] = []
  /** Number of starts of each task. */
  readonly startedTasks = new Map<string, number>()
  /** Time at which the leader first got the leave notice of each endpoint. */
  readonly #leavingSince = new Map<SimulatedEndpoint, number>()

  /** Time at which the drain of each zone was acknowledged, until it is restored. */
  readonly #drainedSince = new Map<string, number>()

  constructor(private readonly world: CheckedWorld) {}

  /** Records that the leader got the leave notice of an endpoint. */
  noteLeaving(endpoint: SimulatedEndpoint): void {
    if (this.#leavingSince.has(endpoint)) return
    this.#leavingSince.set(endpoint, this.world.now())
  }

  /** Records that the operator got the acknowledgement of an order. */
  noteZoneDrain(zone: string, drained: boolean): void {
    if (!drained) this.#drainedSince.delete(zone)
    else if (!this.#drainedSince.has(zone)) this.#drainedSince.set(zone, this.world.now())
  }

  /** @param isLate - whether the order is executed long after it was sent */
  onStart(endpoint: SimulatedEndpoint, task: string, isLate: boolean): void {
    this.startedTasks.set(task, (this.startedTasks.get(task) ?? 0) + 1)
    this.#checkRefusal(task)
    this.#checkOtherRuns(endpoint, task)
    this.#checkRoom(endpoint)
    // The clock by which an order expires starts again with the endpoint, and its next incarnation
    // may carry out an order that was held up for seconds.
    if (!isLate || !this.world.keepsIds()) this.#checkZoneDrain(endpoint, task)
    if (!isLate) this.#checkLeaving(endpoint, task)
  }

  onRefused(job: string): void {
    const ran = [...this.startedTasks.keys()].find((task) => task.startsWith(`${job}.`))
    if (ran !== undefined) this.violations.push(`${job} was refused, but ${ran} ran`)
  }

  #checkRefusal(task: string): void {
    const job = task.split('.')[0] ?? ''
    if (this.world.outcomes.get(job)?.verdict !== JobVerdict.REFUSED) return
    this.violations.push(`${task} started at ${this.world.now()} after its job was refused`)
  }

  #checkOtherRuns(endpoint: SimulatedEndpoint, task: string): void {
    const now = this.world.now()
    for (const other of this.world.endpoints) {
      other.advance(now)
      if (other === endpoint || !other.running.has(task)) continue
      const where = `${other.options.id} and ${endpoint.options.id}`
      this.violations.push(
        `${task} runs on ${where} at ${now}${this.#holders(endpoint, other, task)}`,
      )
    }
  }

  /**
   * Names the holders that ordered two runs of a task, if both are leaders, or if a zone dispatcher
   * had part in it: as the holder of a run, or as the one that an endpoint obeyed last.
   */
  #holders(one: SimulatedEndpoint, other: SimulatedEndpoint, task: string): string {
    const runs = [other, one].map(({ running }) => running.get(task)?.token ?? 0)
    const [first = 0, second = 0] = runs
    const all = [...runs, one.fence, other.fence]
    const areLeaders = all.every((token) => grantOfToken(token) === 0)
    if (areLeaders && termOfToken(first) !== termOfToken(second)) return ' under two leaders'
    if (all.every((token) => isLeaderGrant(grantOfToken(token)))) return ''
    const names = all.map((token) => `${termOfToken(token)}.${grantOfToken(token)}`)
    return ` beside a zone dispatcher, tokens ${names.join(' ')}`
  }

  #checkRoom({ running, name, options }: SimulatedEndpoint): void {
    if (options.guardsPlaces || running.size <= options.places) return
    this.violations.push(`${running.size} tasks run on ${name}, which has ${options.places} places`)
  }

  #checkZoneDrain({ name, options }: SimulatedEndpoint, task: string): void {
    const since = this.#drainedSince.get(options.zone) ?? Infinity
    if (this.world.now() <= since + ZONE_DRAIN_MS) return
    this.violations.push(`${task} started on ${name}, whose zone ${options.zone} is drained`)
  }

  #checkLeaving(endpoint: SimulatedEndpoint, task: string): void {
    const since = this.#leavingSince.get(endpoint) ?? Infinity
    if (this.world.now() <= since + DRAIN_MS) return
    this.violations.push(`${task} started on ${endpoint.name}, which had said that it leaves`)
  }
}
