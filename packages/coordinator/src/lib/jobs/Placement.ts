/** Tasks of a job that went to one owner in one message. @internal */
export interface Placement {
  readonly owner: string
  /** Boot of the owner when the tasks were placed: a later one does not know them. */
  readonly boot: number
  readonly placedAt: number
  /** The owner said that it has the tasks; we did not send them there. */
  readonly isAdopted: boolean
  readonly spanId: string
  /** Tasks of it without a result. */
  open: number
  ok: boolean
}

/** @internal */
export function newPlacement(now: number, owner: string, boot: number, spanId: string): Placement {
  return { owner, boot, placedAt: now, isAdopted: false, spanId, open: 0, ok: true }
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
