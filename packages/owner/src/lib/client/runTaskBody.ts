import type { ResourcesBody } from '@cherryhitch/model'
import type { Resources } from '@cherryhitch/protocol'
import type { RunTaskAction } from '../OwnerAction'

/**
 * The body of `PUT /v1/tasks/{id}`. The payload is already JSON text and is inserted unchanged.
 *
 * `boot` names the endpoint process that the owner addresses: any other process must refuse the
 * request with `ran: no`, since the addressed one may have started the task. With `join`, the
 * request only waits for a task that runs there, and must not start it.
 *
 * @internal
 */
export function runTaskBody(action: RunTaskAction): string {
  const body = {
    service: action.service,
    leaseMs: action.leaseMs,
    deadlineInMs: action.deadlineInMs,
    ...(action.resources === undefined ? {} : { resources: toBody(action.resources) }),
    boot: action.endpointBoot,
    ...(action.join ? { join: true } : {}),
  }
  const payload = action.payload === '' ? 'null' : action.payload
  return `${JSON.stringify(body).slice(0, -1)},"payload":${payload}}`
}

function toBody(resources: Resources): ResourcesBody {
  const { cores, memoryMb, accelerators } = resources
  return { cores, memoryMb, accelerators }
}
