import { isIPv4, isIPv6 } from 'node:net'
import { parseTaskId } from '@cherryhitch/model'
import { Schema } from 'effect'
import { countSchema, nameSchema, resourceSchema } from '../exchange/schemas'

/** Maximum of slots, connections or running tasks that an endpoint may announce. */
const MAX_SLOTS = 10_000
const MAX_PORT = 65_535
const addressPattern = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[\d.]+)):(?<port>\d{1,5})$/

const address = Schema.String.check(
  Schema.makeFilter((text: string) =>
    isAddress(text) ? undefined : 'is no IP address with a port, such as 10.0.0.7:9001',
  ),
)

const taskId = Schema.String.check(
  Schema.makeFilter((text: string) =>
    parseTaskId(text) === undefined ? 'is no task id' : undefined,
  ),
)

const resources = Schema.Struct({
  cores: Schema.optionalKey(resourceSchema),
  memoryMb: Schema.optionalKey(resourceSchema),
  accelerators: Schema.optionalKey(resourceSchema),
})
const count = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: MAX_SLOTS }))
/** Schema of the body of a heartbeat. @internal */
export const heartbeatBodySchema = Schema.Struct({
  service: nameSchema,
  zone: nameSchema,
  rack: nameSchema,
  address,
  slots: count,
  connections: count,
  capacity: resources,
  usage: Schema.optionalKey(resources),
  boot: countSchema,
  runningTaskIds: Schema.Array(taskId).check(Schema.isMaxLength(MAX_SLOTS)),
  state: Schema.Literals(['serving', 'leaving']),
})

/** Refuses host names, since workers are addressed by IP address. */
function isAddress(text: string): boolean {
  const parts = addressPattern.exec(text)?.groups
  const port = Number(parts?.port ?? 0)
  const isIp = isIPv4(parts?.v4 ?? '') || isIPv6(parts?.v6 ?? '')
  return isIp && port > 0 && port <= MAX_PORT
}
