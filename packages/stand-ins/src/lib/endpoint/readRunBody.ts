import type { RunTaskBody } from '@cherryhitch/model'

/** What the stand-in reads of a payload. @internal */
export interface StandInPayload {
  readonly runMs: number
  readonly token: string
}

const EMPTY_PAYLOAD: StandInPayload = { runMs: 0, token: '' }

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}

function isPositive(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value > 0
}

/** Checks the body of a PUT; undefined when it is malformed. @internal */
export function readRunBody(body: unknown): RunTaskBody | undefined {
  if (!isObject(body) || typeof body.service !== 'string') return undefined
  if (!isPositive(body.leaseMs) || !('payload' in body)) return undefined
  return body as unknown as RunTaskBody
}

/** Reads the ids of a stop or a renewal; undefined when they are malformed. @internal */
export function readTaskIds(body: unknown): readonly string[] | undefined {
  if (!isObject(body) || !Array.isArray(body.taskIds)) return undefined
  const ids: unknown[] = body.taskIds
  return ids.every((id) => typeof id === 'string') ? ids : undefined
}

/** Reads the lease of a renewal; undefined when it is malformed. @internal */
export function readLeaseMs(body: unknown): number | undefined {
  return isObject(body) && isPositive(body.leaseMs) ? body.leaseMs : undefined
}

/** Reads run time and token of a payload; a payload of another make runs no time. @internal */
export function readPayload(payload: unknown): StandInPayload {
  if (!isObject(payload)) return EMPTY_PAYLOAD
  const runMs = isPositive(payload.runMs) ? payload.runMs : 0
  const token = typeof payload.token === 'string' ? payload.token : ''
  return { runMs, token }
}
