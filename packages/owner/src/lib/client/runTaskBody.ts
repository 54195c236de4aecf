import type { ResourcesBody } from '@cherryhitch/model'
import type { Resources } from '@cherryhitch/protocol'
import type { RunTaskAction } from '../OwnerAction'

/**
 * The body of `PUT /v1/tasks/{id}`. The payload is JSON text already and goes in as it is.
 *
 * It names the boot of the endpoint that the owner means: another process there must refuse it
 * with `ran: no`, since the old one may have started the task. A request that joins says so, and
 * must start nothing.
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
