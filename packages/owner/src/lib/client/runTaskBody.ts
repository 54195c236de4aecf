import type { ResourcesBody } from '@cherryhitch/model'
import type { Resources } from '@cherryhitch/protocol'
import type { RunTaskAction } from '../OwnerAction'

/**
 * The body of `PUT /v1/tasks/{id}`. The payload is JSON text already and goes in as it is.
 *
 * A request that joins says so and names the boot it means: another process at the endpoint must
 * refuse it rather than start the task a second time.
 *
 * @internal
 */
export function runTaskBody(action: RunTaskAction): string {
  const body = {
    service: action.service,
    leaseMs: action.leaseMs,
    deadlineInMs: action.deadlineInMs,
    ...(action.resources === undefined ? {} : { resources: toBody(action.resources) }),
    ...(action.join ? { join: true, boot: action.endpointBoot } : {}),
  }
  const payload = action.payload === '' ? 'null' : action.payload
  return `${JSON.stringify(body).slice(0, -1)},"payload":${payload}}`
}

function toBody(resources: Resources): ResourcesBody {
  const { cores, memoryMb, accelerators } = resources
  return { cores, memoryMb, accelerators }
}
