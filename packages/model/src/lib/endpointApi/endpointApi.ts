/**
 * JSON bodies of the interface that an endpoint's HTTP server offers to its owner, and of the
 * heartbeat that it sends. `docs/openapi/endpoints.yaml` publishes them.
 */

/** Body of `PUT /v1/tasks/{id}`. A repeated PUT of an id joins the first one. @public */
export interface RunTaskBody {
  readonly service: string
  /** Any JSON value, as the caller sent it. */
  readonly payload: unknown
  /** The endpoint stops the task when this runs out without a renewal. */
  readonly leaseMs: number
  readonly deadlineInMs: number
  readonly resources?: ResourcesBody
  /** Boot of the endpoint that the owner means; another process refuses with `ran: no`. */
  readonly boot?: number
  /** Set to fetch the answer of a task that was sent before: an unknown id starts nothing. */
  readonly join?: boolean
}

/** @public */
export interface ResourcesBody {
  readonly cores?: number
  readonly memoryMb?: number
  readonly accelerators?: number
}

/**
 * Answer 200 of `PUT /v1/tasks/{id}`. Else a problem document: 500 with `ran: yes` when the task
 * failed, 429 or 503 with `ran: no` when it was not started, 409 with `ran: no` when the id is
 * fenced, 410 with `ran: unknown` when it ended and its answer is forgotten.
 *
 * @public
 */
export interface RunTaskAnswer {
  readonly output: unknown
  readonly runMs: number
  /** The task that this answers; one for another task is dropped. */
  readonly taskId?: string
}

/** Body of `POST /v1/stops`; `DELETE /v1/tasks/{id}` does the same for one id. @public */
export interface StopsBody {
  readonly taskIds: readonly string[]
}

/** What the endpoint says of an id it was told to stop. @public */
export enum StopAnswerState {
  /** Never seen here, and fenced now: a later PUT is answered 409. */
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

/** Answer 200 of `POST /v1/leases`: the ids that run here. @public */
export interface LeasesAnswer {
  readonly boot?: number
  readonly running: readonly string[]
}

/** Body of `POST /v1/endpoints/{id}/heartbeat` at an instance. @public */
export interface HeartbeatBody {
  readonly service: string
  readonly zone: string
  readonly rack: string
  /** Host and port of the endpoint's server. */
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
