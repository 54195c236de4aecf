/** Tasks of a job that went to one owner in one message. @internal */
export interface Placement {
  readonly owner: string
  /** Boot of the owner when the tasks were placed: a later one does not know them. */
  readonly boot: number
  readonly placedAt: number
  readonly spanId: string
  /** Tasks of it without a result. */
  open: number
  ok: boolean
}

/** @internal */
export function newPlacement(now: number, owner: string, boot: number, spanId: string): Placement {
  return { owner, boot, placedAt: now, spanId, open: 0, ok: true }
}
