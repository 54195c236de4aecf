import type { ListedRun } from '@cherryhitch/protocol'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { RunState } from './Run'
import type { Run } from './Run'

/**
 * Creates the record of a run that an endpoint reports and that this leader didn't start. Its job
 * may become known later.
 *
 * @internal
 */
export function createOrphanRun(
  now: number,
  endpoint: EndpointRecord,
  { task, run }: ListedRun,
): Run {
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
    pollDueAt: Infinity,
    stopReason: '',
  }
}
