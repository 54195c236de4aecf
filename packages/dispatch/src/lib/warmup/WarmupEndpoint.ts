import {
  ListedEnd,
  makeEndpointAnswer,
  makeHoldReport,
  makeListedRun,
  makeListedRunEnd,
  StartResult,
} from '@cherryhitch/protocol'
import type { EndpointAnswer, EndpointOrder, ListedRunEnd } from '@cherryhitch/protocol'

interface SimulatedRun {
  readonly run: number
  readonly endsAt: number
}

/** Duration of each run, in milliseconds. */
const RUN_MS = 60

/** A simulated endpoint for the warm-up: it starts tasks as ordered, and reports them. @internal */
export class WarmupEndpoint {
  readonly #running = new Map<string, SimulatedRun>()
  #ended: ListedRunEnd[] = []
  #ends = 0
  #hold: { readonly id: number; readonly dueAt: number } | undefined

  /** Handles an order, and returns its answer unless that is due later. */
  handle(now: number, { id, order }: EndpointOrder): EndpointAnswer | undefined {
    switch (order.case) {
      case 'start': {
        const { task, run } = order.value
        this.#running.set(task, { run, endsAt: now + RUN_MS })
        return makeEndpointAnswer(id, { case: 'started', value: StartResult.RUNS })
      }
      case 'stop':
        return makeEndpointAnswer(id, { case: 'stopped', value: true })
      case 'hold': {
        const { acknowledgedEnd, waitMs } = order.value
        this.#ended = this.#ended.filter(({ position }) => position > acknowledgedEnd)
        this.#hold = { id, dueAt: now + waitMs }
        return undefined
      }
      case undefined:
        return undefined
    }
  }

  /** Advances the time, and returns the answer to the open hold once it is due. */
  advance(now: number): EndpointAnswer | undefined {
    for (const [task, { run, endsAt }] of this.#running) {
      if (endsAt > now) continue
      this.#running.delete(task)
      const position = ++this.#ends
      this.#ended.push(makeListedRunEnd({ task, run, position, end: ListedEnd.DONE }))
    }
    const hold = this.#hold
    if (hold === undefined || (now < hold.dueAt && this.#ended.length === 0)) return undefined
    this.#hold = undefined
    const running = Array.from(this.#running, ([task, { run }]) => makeListedRun(task, run))
    const report = makeHoldReport(now, running, [...this.#ended])
    return makeEndpointAnswer(hold.id, { case: 'report', value: report })
  }
}
