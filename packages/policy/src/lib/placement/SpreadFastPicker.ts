import { hash64 } from '@cherryhitch/model'
import type { QueuedTask } from '../order/TaskQueue'
import { LruMap } from '../util/LruMap'
import { EndpointPicker } from './EndpointPicker'
import type { PlacementCandidate, PlacementOutlook } from './EndpointPicker'

/** @public */
export interface SpreadFastPickerOptions {
  /** Slowness from which an endpoint is a straggler, so that waiting for another may be better. */
  readonly stragglerSlowness: number
  /** Cost of one more task of the same job at the endpoint, as a share of the run time. */
  readonly sameEndpointCost: number
  /** Cost of one more task of the same job in the rack, as a share of the run time. */
  readonly sameRackCost: number
  /** Cost of a fully busy endpoint, as a share of the run time; scaled by the busy share. */
  readonly busyCost: number
  /** Longest wait for a faster endpoint, in milliseconds. */
  readonly maxHoldMs: number
}

/** See `docs/design/placement.md` for the measurements behind the defaults. @public */
export const defaultSpreadFastPickerOptions: SpreadFastPickerOptions = {
  stragglerSlowness: 2,
  sameEndpointCost: 0.01,
  sameRackCost: 0.002,
  busyCost: 0.1,
  maxHoldMs: 5000,
}

/** Maximum number of tasks whose hold times are tracked. */
const MAX_HELD = 4096
/** Costs that differ by less than this share of the run time count as equal. */
const TIE_SHARE = 0.02

/**
 * Picks the endpoint where the task is expected to end first. Among endpoints of similar speed, it
 * prefers the least busy one with the fewest tasks of the same job in the endpoint and its rack.
 *
 * When only stragglers are free, the task is held: with an outlook, for as long as it predicts an
 * earlier end elsewhere; without one, for as long as the extra run time at the straggler. As in the
 * ski rental problem, waiting up to the cost of not waiting costs at most twice the optimum.
 *
 * @public
 */
export class SpreadFastPicker extends EndpointPicker {
  private readonly options: SpreadFastPickerOptions
  /** Time at which each held task was first held. */
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
      const cost = this.cost(candidate) + TIE_SHARE * tieBreaker(task.taskId, candidate.endpoint)
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    return best
  }

  /** Expected end of the task, as a multiple of its run time at an average endpoint. */
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

/** A pseudo-random number from 0 to 1 that spreads tasks over endpoints of equal cost. */
function tieBreaker(taskId: string, endpoint: string): number {
  return parseInt(hash64(`${taskId}@${endpoint}`).slice(0, 4), 16) / 0xffff
}
