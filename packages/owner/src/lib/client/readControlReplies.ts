import { StopAnswerState } from '@cherryhitch/model'
import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'
import type { StopResult } from '../endpointResults'
import { StopState } from '../endpointResults'
import type { HttpReply } from '@cherryhitch/http-client'
import { readBoot, readJsonObject, readStrings } from './readJson'

const OK = 200

const stopStates: ReadonlyMap<unknown, StopState> = new Map([
  [StopAnswerState.NeverSeen, StopState.NeverSeen],
  [StopAnswerState.Stopped, StopState.Stopped],
  [StopAnswerState.Ended, StopState.Ended],
])

/** @internal */
export interface StopsReply {
  readonly results: readonly StopResult[]
  readonly boot: number | undefined
}

/** Reads the answer of `POST /v1/stops`. @internal */
export function readStopsReply(reply: HttpReply): Result<StopsReply, string> {
  const body = readBody(reply)
  if (!body.ok) return body
  const states: unknown = body.val.states
  if (!Array.isArray(states)) return Err('The answer lists no states.')
  const results = states.flatMap((entry: unknown) => readStopResult(entry))
  return Ok({ results, boot: readBoot(body.val) })
}

/** @internal */
export interface LeasesReply {
  readonly running: readonly string[]
  readonly boot: number | undefined
}

/** Reads the answer of `POST /v1/leases`. @internal */
export function readLeasesReply(reply: HttpReply): Result<LeasesReply, string> {
  const body = readBody(reply)
  if (!body.ok) return body
  const running = readStrings(body.val.running)
  if (running === undefined) return Err('The answer lists no running tasks.')
  return Ok({ running, boot: readBoot(body.val) })
}

function readBody(reply: HttpReply): Result<Readonly<Record<string, unknown>>, string> {
  if (reply.status !== OK) return Err(`The endpoint answered ${reply.status}.`)
  if (reply.oversized) return Err('The answer is longer than the limit.')
  return readJsonObject(reply.body)
}

function readStopResult(entry: unknown): readonly StopResult[] {
  if (typeof entry !== 'object' || entry === null) return []
  const { taskId, state } = entry as { taskId?: unknown; state?: unknown }
  const known = stopStates.get(state)
  if (typeof taskId !== 'string' || known === undefined) return []
  return [{ taskId, state: known }]
}
