import { makeStartOrder, makeStopOrder } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { Task } from '../jobs/Job'
import type { Run } from './Run'

/** How often an order to stop is repeated until the end is listed, in milliseconds. */
const STOP_REPEAT_MS = 100

/** Orders endpoints to start and to stop runs. @internal */
export class RunOrders {
  constructor(private readonly core: DispatchCore) {}

  /** Orders a run to start, the first time or once more. */
  start(now: number, run: Run, { job }: Task): void {
    run.startOrders++
    const { endpoint, name: task, number, orderEndsAt } = run
    const { payload } = job.spec
    const value = makeStartOrder({ task, run: number, payload, orderEndsAt })
    const { timeoutMs } = endpoint.roundTrip
    this.core.order(now, endpoint, { timeoutMs, order: { case: 'start', value } })
  }

  /** Orders a run to stop, and notes when to do so again if its end is not listed by then. */
  stop(now: number, run: Run): void {
    const { term, counters } = this.core
    if (term === undefined) return
    run.stopDueAt = now + STOP_REPEAT_MS
    counters.stops++
    const { endpoint, name, number } = run
    const value = makeStopOrder(name, number)
    const { timeoutMs } = endpoint.roundTrip
    this.core.order(now, endpoint, { timeoutMs, order: { case: 'stop', value } })
  }
}
