import {
  ListedEnd,
  makeEndpointAnswer,
  makeHoldReport,
  makeListedRun,
  makeListedRunEnd,
  StartResult,
} from '@cherryhitch/protocol'
import type { EndpointAnswer, EndpointOrder, ListedRunEnd } from '@cherryhitch/protocol'

interface PlayedRun {
  readonly run: number
  readonly endsAt: number
}

/** How long each run takes, in milliseconds. */
const RUN_MS = 60

/** An endpoint of a rehearsal: it starts what it is told to, and lists it. @internal */
export class RehearsedEndpoint {
  readonly #running = new Map<string, PlayedRun>()
  #ended: ListedRunEnd[] = []
  #ends = 0
  #hold: { readonly id: number; readonly dueAt: number } | undefined

  /** Takes an order; gives the answer unless that is due later. */
  take(now: number, { id, order }: EndpointOrder): EndpointAnswer | undefined {
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

  /** Lets time pass; gives the answer to the open hold once it is due. */
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
