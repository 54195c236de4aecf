import { JobVerdict } from '@cherryhitch/protocol'
import type { JobOutcome } from '@cherryhitch/protocol'
import type { SimulatedEndpoint } from './SimulatedEndpoint'

/** What the checks need of the run around them. @internal */
export interface CheckedWorld {
  readonly endpoints: readonly SimulatedEndpoint[]
  readonly outcomes: ReadonlyMap<string, JobOutcome>
  readonly now: () => number
}

/** Endpoints that leave serve so long at least, and may be given tasks until then, in milliseconds. */
export const DRAIN_MS = 1_000

/** The promises that each start of a task, and each refusal, has to keep. @internal */
export class StartChecks {
  readonly violations: string[] = []
  /** How often each task was started. */
  readonly startedTasks = new Map<string, number>()
  /** When the leader was first told that an endpoint leaves. */
  readonly #leavingSince = new Map<SimulatedEndpoint, number>()

  constructor(private readonly world: CheckedWorld) {}

  /** The leader knows from now on that an endpoint leaves. */
  noteLeaving(endpoint: SimulatedEndpoint): void {
    if (this.#leavingSince.has(endpoint)) return
    this.#leavingSince.set(endpoint, this.world.now())
  }

  /** @param isLate - the endpoint carries the order out long after it was given */
  onStart(endpoint: SimulatedEndpoint, task: string, isLate: boolean): void {
    this.startedTasks.set(task, (this.startedTasks.get(task) ?? 0) + 1)
    this.#checkRefusal(task)
    this.#checkOtherRuns(endpoint, task)
    this.#checkRoom(endpoint)
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
      this.violations.push(`${task} runs on ${where} at ${now}`)
    }
  }

  #checkRoom({ running, name, options }: SimulatedEndpoint): void {
    if (options.guardsPlaces || running.size <= options.places) return
    this.violations.push(`${running.size} tasks run on ${name}, which has ${options.places} places`)
  }

  #checkLeaving(endpoint: SimulatedEndpoint, task: string): void {
    const since = this.#leavingSince.get(endpoint) ?? Infinity
    if (this.world.now() <= since + DRAIN_MS) return
    this.violations.push(`${task} started on ${endpoint.name}, which had said that it leaves`)
  }
}
