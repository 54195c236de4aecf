import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'
import { SimulatedLeader } from './SimulatedLeader'
import type { LeaderSurroundings } from './SimulatedLeader'

/** Processor time of a leader's work, in microseconds. @internal */
export interface LeaderCosts {
  /** Per received message: reading, decoding, and finding the job or endpoint that it concerns. */
  readonly event: number
  /** Per order or answer sent. */
  readonly action: number
  /** Per waiting job that a scheduling round ranks. */
  readonly rankedJob: number
  /** Per endpoint that a scheduling round visits. */
  readonly visitedEndpoint: number
  /** Per slot that a forecast assigns. */
  readonly forecastPlace: number
}

/**
 * Costs of decisions are those of placement on a core of this project's machines. Costs of messages
 * are those of encoding and decoding one, doubled for streams and timers.
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
 * A dispatcher whose work takes simulated processor time. While it processes a batch of events, new
 * events wait; its orders and answers are sent when the batch is done. The events that waited form
 * the next batch.
 *
 * @internal
 */
export class PayingLeader extends SimulatedLeader {
  /** Total processor time used so far, in milliseconds. */
  busyMs = 0
  #waiting: DispatchEvent[] = []
  /** Arrival time of the first waiting event. */
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

  /** Cost of all decisions so far, computed from the machine's counters. */
  #decisionUs({ counters }: DispatchMachine): number {
    const { rankedJob, visitedEndpoint, forecastPlace } = this.costs
    return (
      counters.jobs_ranked * rankedJob +
      counters.endpoints_visited * visitedEndpoint +
      counters.places_forecast * forecastPlace
    )
  }
}
