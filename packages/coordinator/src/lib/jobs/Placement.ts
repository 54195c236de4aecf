/** Tasks of a job that were sent to one owner in one message. @internal */
export interface Placement {
  readonly owner: string
  /** Boot of the owner when the tasks were placed; a later boot has no record of them. */
  readonly boot: number
  readonly placedAt: number
  /** The owner reported that it has the tasks; this coordinator did not send them to it. */
  readonly isAdopted: boolean
  readonly spanId: string
  /** Number of its tasks without a result. */
  openTasks: number
  ok: boolean
}

/** @internal */
export function newPlacement(now: number, owner: string, boot: number, spanId: string): Placement {
  return { owner, boot, placedAt: now, isAdopted: false, spanId, openTasks: 0, ok: true }
}

/** @internal */
export function adoptedPlacement(
  now: number,
  owner: string,
  boot: number,
  spanId: string,
): Placement {
  return { ...newPlacement(now, owner, boot, spanId), isAdopted: true }
}
