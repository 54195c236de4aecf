import { HealthFailure } from '@cherryhitch/policy'
import { StartResult } from '@cherryhitch/protocol'
import type { EndpointOrder, HoldReport } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { OrderAnswered } from '../DispatchEvent'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { grantOfToken, termOfToken } from '../endpoints/fencingToken'
import type { LeaseLoop } from '../endpoints/LeaseLoop'
import type { JobLifecycle } from '../jobs/JobLifecycle'
import type { Run } from '../runs/Run'

/** An endpoint's answer to a hold order: the list of its runs. */
interface HoldAnswer {
  readonly order: EndpointOrder
  readonly sentAt: number
  readonly report: HoldReport
}

/** Handles the answers of endpoints to orders of this leader. @internal */
export class AnswerHandler {
  constructor(
    private readonly core: DispatchCore,
    private readonly leases: LeaseLoop,
    private readonly lifecycle: JobLifecycle,
    /** Called when an endpoint has been adopted, so that it may get tasks. */
    private readonly onAdopted: () => void,
  ) {}

  handle(now: number, { order, sentAt, answer }: OrderAnswered): void {
    const endpoint = this.core.endpoints.get(order.endpoint)
    // Ignore answers to orders that this instance gave in an earlier term or under another grant.
    if (endpoint === undefined || termOfToken(order.fencingToken) !== this.core.term) return
    if (this.core.hasZoneDispatchers && grantOfToken(order.fencingToken) !== endpoint.grant) return
    switch (answer.case) {
      case 'report':
        this.#onReport(now, endpoint, { order, sentAt, report: answer.value })
        return
      case 'fault':
        this.leases.noteFailure(now, endpoint, order.id, answer.value)
        return
      case 'started':
        if (answer.value !== StartResult.UNKNOWN) endpoint.roundTrip.addSample(now - sentAt)
        this.#onStarted(now, findRun(endpoint, order), answer.value)
        return
      case 'stopped': {
        const run = findRun(endpoint, order)
        if (run !== undefined) this.lifecycle.runs.onStopAnswered(now, run, answer.value)
      }
    }
  }

  #onReport(now: number, endpoint: EndpointRecord, { order, sentAt, report }: HoldAnswer): void {
    const { isSynced: wasSynced, acknowledgedEnd, poll } = endpoint
    this.leases.noteAnswer(now, endpoint, order.id, report.clockMs)
    endpoint.noteAlive(sentAt)
    this.lifecycle.runs.onReport(now, endpoint, sentAt, report)
    const hasNewEnd = endpoint.acknowledgedEnd > acknowledgedEnd
    if (hasNewEnd && poll?.id === order.id) this.leases.discardMissedHold(poll, endpoint)
    if (!wasSynced) this.onAdopted()
    this.leases.reopenHold(now, endpoint)
  }

  #onStarted(now: number, run: Run | undefined, result: StartResult): void {
    if (run === undefined) return
    this.lifecycle.runs.onStartAnswered(now, run, result)
    if (result !== StartResult.UNHEALTHY) return
    this.lifecycle.health.noteFailure(now, run, HealthFailure.Refused)
  }
}

/** Finds the run that a start or stop order names, if it is still tracked. */
function findRun({ runs }: EndpointRecord, { order }: EndpointOrder): Run | undefined {
  if (order.case !== 'start' && order.case !== 'stop') return undefined
  const { task, run: number } = order.value
  const run = runs.get(task)
  return run?.number === number ? run : undefined
}
