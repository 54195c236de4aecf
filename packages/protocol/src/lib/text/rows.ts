/**
 * Encodes dispatch messages as JSON arrays (rows) and decodes them. The row types give the order of
 * the fields.
 */
import type {
  EndpointAnswer,
  EndpointOrder,
  HoldFailure,
  HoldReport,
  JobOutcome,
  JobStep,
  JobVerdict,
  ListedEnd,
  StartResult,
  SubmitJob,
} from '../gen/cherryhitch/v1/dispatch_pb'
import {
  makeEndpointAnswer,
  makeEndpointCapacity,
  makeEndpointOrder,
  makeHoldFault,
  makeHoldOrder,
  makeHoldReport,
  makeJobOutcome,
  makeJobStep,
  makeListedRun,
  makeListedRunEnd,
  makeStartOrder,
  makeSteppedJob,
  makeStopOrder,
  makeSubmitJob,
} from './messages'

/** Kind of an order, in its row. */
enum OrderKind {
  Hold = 0,
  Start = 1,
  Stop = 2,
}

/** Kind of an answer, in its row. */
enum AnswerKind {
  Report = 0,
  Fault = 1,
  Started = 2,
  Stopped = 3,
}

type OrderHead = [
  id: number,
  endpoint: string,
  address: string,
  fencingToken: number,
  timeoutMs: number,
]
type OrderBody =
  | [OrderKind.Hold, leaseEndsAt: number | null, acknowledgedEnd: number, waitMs: number]
  /** `payload` is an index into the message's payload table, since the tasks of a job share one. */
  | [OrderKind.Start, task: string, run: number, payload: number, orderEndsAt: number]
  | [OrderKind.Stop, task: string, run: number]
export type OrderRow = [...OrderHead, ...OrderBody]

type ReportRow = [
  clockMs: number,
  running: [task: string, run: number][],
  ended: [task: string, run: number, position: number, end: ListedEnd][],
]
export type AnswerRow =
  | [id: number, AnswerKind.Report, ...ReportRow]
  | [id: number, AnswerKind.Fault, failure: HoldFailure, detail: string]
  | [id: number, AnswerKind.Started, result: StartResult]
  | [id: number, AnswerKind.Stopped, isStopped: boolean]

type StepRow = [
  count: number,
  cpuMillis: number,
  memoryMb: number,
  gpus: number,
  estimateMs: number,
  dependsOn: number[],
  requiredLabel: string,
  dataRack: string,
  maxPerEndpoint: number,
]
export type SubmitRow = [
  requestId: string,
  host: string,
  path: string,
  remainingMs: number,
  waitedMs: number,
  earlierAttempts: number,
  jobId: string,
  payload: string,
  steps: StepRow[],
]
export type OutcomeRow = [
  requestId: string,
  verdict: JobVerdict,
  reason: string,
  retryAfterMs: number,
  pending: number,
  term: number,
  /** Left out by builds that don't know it. */
  routingVersion?: number,
]

/** The distinct payloads of the orders in one message. */
export class PayloadTable {
  readonly payloads: string[] = []

  /**
   * Returns a payload's index and adds it if it is new. The last payload is compared first, since
   * the orders of one job follow one another.
   */
  indexOf(payload: string): number {
    const last = this.payloads.length - 1
    if (this.payloads[last] === payload) return last
    const known = this.payloads.indexOf(payload)
    return known >= 0 ? known : this.payloads.push(payload) - 1
  }
}

/** @returns undefined for an order of unknown kind */
export function encodeOrder(
  message: EndpointOrder,
  payloadTable: PayloadTable,
): OrderRow | undefined {
  const { id, endpoint, address, fencingToken, timeoutMs, order } = message
  const head: OrderHead = [id, endpoint, address, fencingToken, timeoutMs]
  switch (order.case) {
    case 'hold': {
      const { leaseEndsAt = null, acknowledgedEnd, waitMs } = order.value
      return [...head, OrderKind.Hold, leaseEndsAt, acknowledgedEnd, waitMs]
    }
    case 'start': {
      const { task, run, payload, orderEndsAt } = order.value
      return [...head, OrderKind.Start, task, run, payloadTable.indexOf(payload), orderEndsAt]
    }
    case 'stop':
      return [...head, OrderKind.Stop, order.value.task, order.value.run]
    case undefined:
      return undefined
  }
}

export function decodeOrder(row: OrderRow, payloads: readonly string[]): EndpointOrder {
  const [id, endpoint, address, fencingToken, timeoutMs] = row
  const head = { id, endpoint, address, fencingToken, timeoutMs }
  return makeEndpointOrder({ ...head, order: decodeOrderBody(row, payloads) })
}

function decodeOrderBody(row: OrderRow, payloads: readonly string[]): EndpointOrder['order'] {
  switch (row[5]) {
    case OrderKind.Hold:
      return { case: 'hold', value: makeHoldOrder(row[6] ?? undefined, row[7], row[8]) }
    case OrderKind.Start: {
      const payload = payloads[row[8]] ?? ''
      const value = makeStartOrder({ task: row[6], run: row[7], payload, orderEndsAt: row[9] })
      return { case: 'start', value }
    }
    case OrderKind.Stop:
      return { case: 'stop', value: makeStopOrder(row[6], row[7]) }
  }
}

/** @returns undefined for an answer of unknown kind */
export function encodeAnswer({ id, answer }: EndpointAnswer): AnswerRow | undefined {
  switch (answer.case) {
    case 'report':
      return [id, AnswerKind.Report, ...encodeReport(answer.value)]
    case 'fault':
      return [id, AnswerKind.Fault, answer.value.failure, answer.value.detail]
    case 'started':
      return [id, AnswerKind.Started, answer.value]
    case 'stopped':
      return [id, AnswerKind.Stopped, answer.value]
    case undefined:
      return undefined
  }
}

function encodeReport({ clockMs, running, ended }: HoldReport): ReportRow {
  return [
    clockMs,
    running.map(({ task, run }) => [task, run]),
    ended.map(({ task, run, position, end }) => [task, run, position, end]),
  ]
}

export function decodeAnswer(row: AnswerRow): EndpointAnswer {
  const [id] = row
  switch (row[1]) {
    case AnswerKind.Report: {
      const running = row[3].map(([task, run]) => makeListedRun(task, run))
      const ended = row[4].map(([task, run, position, end]) => {
        return makeListedRunEnd({ task, run, position, end })
      })
      const value = makeHoldReport(row[2], running, ended)
      return makeEndpointAnswer(id, { case: 'report', value })
    }
    case AnswerKind.Fault:
      return makeEndpointAnswer(id, { case: 'fault', value: makeHoldFault(row[2], row[3]) })
    case AnswerKind.Started:
      return makeEndpointAnswer(id, { case: 'started', value: row[2] })
    case AnswerKind.Stopped:
      return makeEndpointAnswer(id, { case: 'stopped', value: row[2] })
  }
}

/** @returns undefined for a request without a job */
export function encodeSubmit(message: SubmitJob): SubmitRow | undefined {
  const { requestId, host, path, spec, remainingMs, waitedMs, earlierAttempts } = message
  if (spec === undefined) return undefined
  const { jobId, payload, steps } = spec
  const timing = [remainingMs, waitedMs, earlierAttempts] as const
  return [requestId, host, path, ...timing, jobId, payload, steps.map(encodeStep)]
}

function encodeStep(step: JobStep): StepRow {
  const { count, needs, estimateMs, dependsOn, requiredLabel, dataRack, maxPerEndpoint } = step
  const { cpuMillis = 0, memoryMb = 0, gpus = 0 } = needs ?? {}
  const capacity = [cpuMillis, memoryMb, gpus] as const
  return [count, ...capacity, estimateMs, dependsOn, requiredLabel, dataRack, maxPerEndpoint]
}

export function decodeSubmit(row: SubmitRow): SubmitJob {
  const [requestId, host, path, remainingMs, waitedMs, earlierAttempts, jobId, payload, steps] = row
  const spec = makeSteppedJob(jobId, payload, steps.map(decodeStep))
  return makeSubmitJob({ requestId, host, path, spec, remainingMs, waitedMs, earlierAttempts })
}

function decodeStep(row: StepRow): JobStep {
  const [count, cpuMillis, memoryMb, gpus, estimateMs, dependsOn] = row
  const [, , , , , , requiredLabel, dataRack, maxPerEndpoint] = row
  const needs = makeEndpointCapacity(cpuMillis, memoryMb, gpus)
  const constraints = { requiredLabel, dataRack, maxPerEndpoint }
  return makeJobStep({ count, needs, estimateMs, dependsOn, ...constraints })
}

export function encodeOutcome(message: JobOutcome): OutcomeRow {
  const { requestId, verdict, reason, retryAfterMs, pending, term, routingVersion } = message
  return [requestId, verdict, reason, retryAfterMs, pending, term, routingVersion]
}

export function decodeOutcome(row: OutcomeRow): JobOutcome {
  const [requestId, verdict, reason, retryAfterMs, pending, term, routingVersion = 0] = row
  const decision = { verdict, reason, retryAfterMs, pending }
  return makeJobOutcome({ requestId, ...decision, term, routingVersion })
}
