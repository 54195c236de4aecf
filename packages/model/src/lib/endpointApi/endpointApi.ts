/**
 * JSON bodies of the HTTP API that an endpoint serves to its owner, and of the heartbeats that it
 * sends. Published in `docs/openapi/endpoints.yaml`.
 */

/** Body of `PUT /v1/tasks/{id}`. A repeated PUT of an id joins the earlier run. @public */
export interface RunTaskBody {
  readonly service: string
  /** Any JSON value, as the caller sent it. */
  readonly payload: unknown
  /** Duration of the lease; the endpoint stops the task if it expires without a renewal. */
  readonly leaseMs: number
  readonly deadlineInMs: number
  readonly resources?: ResourcesBody
  /** Boot of the endpoint that the request is for; any other boot refuses it with `ran: no`. */
  readonly boot?: number
  /** Set to fetch the answer of a task that was sent earlier; an unknown id is not started. */
  readonly join?: boolean
}

/** @public */
export interface ResourcesBody {
  readonly cores?: number
  readonly memoryMb?: number
  readonly accelerators?: number
}

/**
 * Answer 200 of `PUT /v1/tasks/{id}`. Errors are problem documents: 500 with `ran: yes` if the task
 * failed, 429 or 503 with `ran: no` if it was not started, 409 with `ran: no` if the id is fenced,
 * 410 with `ran: unknown` if the task ended and its answer is no longer stored.
 *
 * @public
 */
export interface RunTaskAnswer {
  readonly output: unknown
  readonly runMs: number
  /** The task that this answers; an answer for a different task is dropped. */
  readonly taskId?: string
}

/** Body of `POST /v1/stops`; `DELETE /v1/tasks/{id}` does the same for one id. @public */
export interface StopsBody {
  readonly taskIds: readonly string[]
}

/** State of a task when the endpoint handles the request to stop it. @public */
export enum StopAnswerState {
  /** Unknown at the endpoint, and fenced from now on: a later PUT gets a 409. */
  NeverSeen = 'never_seen',
  Stopped = 'stopped',
  Ended = 'ended',
}

/** Answer 200 of `POST /v1/stops`. @public */
export interface StopsAnswer {
  readonly boot?: number
  readonly states: readonly { readonly taskId: string; readonly state: StopAnswerState }[]
}

/** Body of `POST /v1/leases`. @public */
export interface LeasesBody {
  readonly leaseMs: number
  readonly taskIds: readonly string[]
}

/** Answer 200 of `POST /v1/leases`: the ids of the tasks that run at the endpoint. @public */
export interface LeasesAnswer {
  readonly boot?: number
  readonly running: readonly string[]
}

/** Body of `POST /v1/endpoints/{id}/heartbeat`, which an instance serves. @public */
export interface HeartbeatBody {
  readonly service: string
  readonly zone: string
  readonly rack: string
  /** Host and port of the endpoint's HTTP server. */
  readonly address: string
  readonly slots: number
  readonly connections: number
  readonly capacity: ResourcesBody
  readonly usage?: ResourcesBody
  readonly boot: number
  readonly runningTaskIds: readonly string[]
  readonly state: 'serving' | 'leaving'
}

/** Answer 200 of the heartbeat. @public */
export interface HeartbeatAnswer {
  readonly owner: string
  readonly ownerAddress: string
  readonly nextHeartbeatMs: number
}
