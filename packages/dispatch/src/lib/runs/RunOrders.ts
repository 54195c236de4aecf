import { makeStartOrder, makeStopOrder } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { Task } from '../jobs/Job'
import type { Run } from './Run'

/**
 * Interval at which an order to stop is repeated until the endpoint reports the end, in
 * milliseconds.
 */
const STOP_REPEAT_MS = 100

/** Sends the orders to start and to stop runs. @internal */
export class RunOrders {
  constructor(private readonly core: DispatchCore) {}

  /** Sends the order to start a run, for the first time or again. */
  start(now: number, run: Run, { job }: Task): void {
    run.startOrders++
    const { endpoint, name: task, number, orderEndsAt } = run
    const { payload } = job.spec
    const value = makeStartOrder({ task, run: number, payload, orderEndsAt })
    const { timeoutMs } = endpoint.roundTrip
    this.core.sendOrder(now, endpoint, { timeoutMs, order: { case: 'start', value } })
  }

  /** Sends the order to stop a run, and schedules the next one in case its end is not reported. */
  stop(now: number, run: Run): void {
    const { term, counters } = this.core
    if (term === undefined) return
    run.stopDueAt = now + STOP_REPEAT_MS
    counters.stops++
    const { endpoint, name, number } = run
    const value = makeStopOrder(name, number)
    const { timeoutMs } = endpoint.roundTrip
    this.core.sendOrder(now, endpoint, { timeoutMs, order: { case: 'stop', value } })
  }
}
