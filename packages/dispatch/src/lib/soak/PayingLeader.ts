import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'
import { SimulatedLeader } from './SimulatedLeader'
import type { LeaderSurroundings } from './SimulatedLeader'

/** Processor time that a leader spends, in microseconds. @internal */
export interface LeaderCosts {
  /** For each message that it takes in: to read it, decode it and find what it concerns. */
  readonly event: number
  /** For each order or answer that it sends. */
  readonly action: number
  /** For each waiting job that a round puts in order. */
  readonly rankedJob: number
  /** For each endpoint that a round looks at. */
  readonly visitedEndpoint: number
  /** For each place that is taken by forecast. */
  readonly forecastPlace: number
}

/**
 * Decisions cost what placing takes on a core of this project's machines. Messages cost what it takes
 * to write and read one, and as much again in streams and timers.
 *
 * @internal
 */
export const defaultLeaderCosts: LeaderCosts = {
  event: 20,
  action: 30,
  rankedJob: 1.5,
  visitedEndpoint: 0.15,
  forecastPlace: 0.25,
}

const US_PER_MS = 1_000

/**
 * A dispatcher that pays for its time: while it works on what it took in, everything else waits,
 * and its orders and answers go out once the work is done. What waited is taken in together.
 *
 * @internal
 */
export class PayingLeader extends SimulatedLeader {
  /** Time that its work took so far, in milliseconds. */
  busyMs = 0
  #waiting: DispatchEvent[] = []
  /** When the first of what waits came. */
  #waitsSince = 0
  #isTickDue = false
  #isBusy = false

  constructor(
    around: LeaderSurroundings,
    private readonly costs: LeaderCosts,
  ) {
    super(around)
  }

  override tell(event: DispatchEvent): void {
    if (this.#waiting.length === 0) this.#waitsSince = this.around.now()
    this.#waiting.push(event)
    this.#work()
  }

  override tick(): void {
    this.#isTickDue = true
    this.#work()
  }

  #work(): void {
    if (this.#isBusy || (this.#waiting.length === 0 && !this.#isTickDue)) return
    const { machine, now, after, perform } = this.around
    const events = this.#waiting
    const since = events.length > 0 ? this.#waitsSince : now()
    this.#waiting = []
    this.#isBusy = true
    const before = this.#decisionUs(machine)
    const actions = [...machine.stepAll(now(), events)]
    if (this.#isTickDue) actions.push(...machine.tick(now()))
    this.#isTickDue = false
    const decisionUs = this.#decisionUs(machine) - before
    const messageUs = events.length * this.costs.event + actions.length * this.costs.action
    const ms = (decisionUs + messageUs) / US_PER_MS
    this.busyMs += ms
    after(ms, () => {
      perform(actions)
      machine.recordStep(now(), now() - since)
      this.#isBusy = false
      this.#work()
    })
  }

  /** What all decisions so far have cost, by what they looked at. */
  #decisionUs({ counters }: DispatchMachine): number {
    const { rankedJob, visitedEndpoint, forecastPlace } = this.costs
    return (
      counters.jobs_ranked * rankedJob +
      counters.endpoints_visited * visitedEndpoint +
      counters.places_forecast * forecastPlace
    )
  }
}
