import type { OwnerOffer } from './OwnerRouter'

/**
 * Predicts the wait at one owner while tasks are assigned to it.
 *
 * Free slots are used first. After that, each task adds its run time divided by the number of slots
 * to the wait. Tasks that were placed since the offer was made are included from the start.
 *
 * @internal
 */
export class OwnerLoad {
  private free: number
  private queueWaitMs: number

  constructor(
    readonly offer: OwnerOffer,
    /** Used when the owner has not measured a mean run time yet. */
    fallbackRunMs: number,
  ) {
    const meanRunMs = offer.meanRunMs > 0 ? offer.meanRunMs : fallbackRunMs
    const perTaskMs = meanRunMs / Math.max(1, offer.slots)
    const overflow = Math.max(0, offer.unreported - offer.freeSlots)
    this.free = Math.max(0, offer.freeSlots - offer.unreported)
    // Once no slot is free, the next one is expected after the mean run time divided by the slots.
    this.queueWaitMs = Math.max(offer.waitMs, perTaskMs) + overflow * perTaskMs
  }

  /** Wait of the next task added, in milliseconds, including the round trip. */
  get waitMs(): number {
    return this.offer.roundTripMs + (this.free > 0 ? 0 : this.queueWaitMs)
  }

  /** Share of the slots that are still free. */
  get freeShare(): number {
    return this.free / Math.max(1, this.offer.slots)
  }

  add(estimateMs: number): void {
    if (this.free > 0) this.free--
    else this.queueWaitMs += estimateMs / Math.max(1, this.offer.slots)
  }
}
