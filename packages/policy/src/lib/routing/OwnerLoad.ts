import type { OwnerOffer } from './OwnerRouter'

/**
 * Prediction of the wait at one owner while tasks are being added to it.
 *
 * Free slots are used first; after that, each task lengthens the wait by its run time over the
 * number of slots. Tasks that were placed since the offer was made are counted in from the start.
 *
 * @internal
 */
export class OwnerLoad {
  private free: number
  private queueWaitMs: number

  constructor(
    readonly offer: OwnerOffer,
    /** Stands in for a mean run time that the owner has not measured yet. */
    fallbackRunMs: number,
  ) {
    const meanRunMs = offer.meanRunMs > 0 ? offer.meanRunMs : fallbackRunMs
    const perTaskMs = meanRunMs / Math.max(1, offer.slots)
    const overflow = Math.max(0, offer.unreported - offer.freeSlots)
    this.free = Math.max(0, offer.freeSlots - offer.unreported)
    // Once the free slots are taken, the next one comes free after about one run over all slots.
    this.queueWaitMs = Math.max(offer.waitMs, perTaskMs) + overflow * perTaskMs
  }

  /** Wait of the next task added, in milliseconds, the way there included. */
  get waitMs(): number {
    return this.offer.roundTripMs + (this.free > 0 ? 0 : this.queueWaitMs)
  }

  /** Share of the slots that is still free. */
  get freeShare(): number {
    return this.free / Math.max(1, this.offer.slots)
  }

  add(estimateMs: number): void {
    if (this.free > 0) this.free--
    else this.queueWaitMs += estimateMs / Math.max(1, this.offer.slots)
  }
}
