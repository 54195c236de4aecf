import type { ListedRun } from '@cherryhitch/protocol'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { RunState } from './Run'
import type { Run } from './Run'

/** A run that an endpoint lists and that this leader didn't start; its job may become known later. @internal */
export function foundRun(now: number, endpoint: EndpointRecord, { task, run }: ListedRun): Run {
  return {
    task: undefined,
    name: task,
    number: run,
    endpoint,
    needs: undefined,
    state: RunState.Running,
    sentAt: now,
    startOrders: 0,
    orderEndsAt: -Infinity,
    confirmedAt: now,
    expectedMs: 0,
    stopConfirmedAt: undefined,
    stopDueAt: Infinity,
    lookDueAt: Infinity,
    stopReason: '',
  }
}
