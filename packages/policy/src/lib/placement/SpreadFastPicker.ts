import { hash64 } from '@cherryhitch/model'
import type { QueuedTask } from '../order/TaskQueue'
import { LruMap } from '../util/LruMap'
import { EndpointPicker } from './EndpointPicker'
import type { PlacementCandidate, PlacementOutlook } from './EndpointPicker'

/** @public */
export interface SpreadFastPickerOptions {
  /** Endpoints at least this much slower than their peers are worth waiting for another. */
  readonly stragglerSlowness: number
  /** Cost of one more task of the same job at the endpoint, as a share of the run time. */
  readonly sameEndpointCost: number
  /** The same for the rack. */
  readonly sameRackCost: number
  /** Cost of an endpoint whose slots are all busy but one, as a share of the run time. */
  readonly busyCost: number
  /** Longest wait for a faster endpoint, in milliseconds. */
  readonly maxHoldMs: number
}

/** Measured in `docs/design/placement.md`. @public */
export const defaultSpreadFastPickerOptions: SpreadFastPickerOptions = {
  stragglerSlowness: 2,
  sameEndpointCost: 0.01,
  sameRackCost: 0.002,
  busyCost: 0.1,
  maxHoldMs: 5000,
}

/** Tasks held back at once that are remembered. */
const MAX_HELD = 4096
/** Endpoints whose costs differ by less than this share of the run time are equally good. */
const TIE_SHARE = 0.02

/**
 * Takes the endpoint where the task is expected to end first, and among equals the least busy
 * one that has the least of the same job beside it.
 *
 * When only stragglers are free, a task waits: for as long as the outlook promises an earlier end
 * elsewhere, or, without an outlook, for as long as the straggler would cost beyond an average
 * run. Waiting up to the cost of not waiting loses at most twice what the best choice would have.
 *
 * @public
 */
export class SpreadFastPicker extends EndpointPicker {
  private readonly options: SpreadFastPickerOptions
  /** When a task was held back for the first time. */
  private readonly heldSince = new LruMap<string, number>(MAX_HELD)

  constructor(options: Partial<SpreadFastPickerOptions> = {}) {
    super()
    this.options = { ...defaultSpreadFastPickerOptions, ...options }
  }

  override pick(
    now: number,
    task: QueuedTask,
    candidates: readonly PlacementCandidate[],
    outlook?: PlacementOutlook,
  ): PlacementCandidate | undefined {
    const best = this.cheapest(task, candidates)
    if (best === undefined) return undefined
    if (this.shouldHold(now, task, best.slowness, outlook)) return undefined
    this.heldSince.delete(task.taskId)
    return best
  }

  private cheapest(
    task: QueuedTask,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    let best: PlacementCandidate | undefined
    let bestCost = Infinity
    for (const candidate of candidates) {
      const cost = this.cost(candidate) + TIE_SHARE * tieDraw(task.taskId, candidate.endpoint)
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    return best
  }

  /** Expected end, in run times of an average endpoint. */
  private cost(candidate: PlacementCandidate): number {
    const { sameEndpointCost, sameRackCost, busyCost } = this.options
    const busyShare = candidate.busySlots / Math.max(1, candidate.slots)
    return (
      candidate.slowness +
      sameEndpointCost * candidate.sameJobHere +
      sameRackCost * candidate.sameJobInRack +
      busyCost * busyShare
    )
  }

  private shouldHold(
    now: number,
    task: QueuedTask,
    slowness: number,
    outlook: PlacementOutlook | undefined,
  ): boolean {
    if (slowness < this.options.stragglerSlowness) return false
    const since = this.heldSince.get(task.taskId) ?? now
    this.heldSince.set(task.taskId, since)
    const lossMs = task.estimateMs * (slowness - 1)
    const { maxHoldMs } = this.options
    const heldMs = now - since
    if (outlook === undefined) return heldMs < Math.min(lossMs, maxHoldMs)
    return heldMs < maxHoldMs && outlook.nextSlotMs < lossMs
  }
}

/** A number from 0 to 1 that spreads the tasks of equal endpoints. */
function tieDraw(taskId: string, endpoint: string): number {
  return parseInt(hash64(`${taskId}@${endpoint}`).slice(0, 4), 16) / 0xffff
}
