import { hash64 } from '@cherryhitch/model'
import type { QueuedTask } from '../order/TaskQueue'
import { EndpointPicker } from './EndpointPicker'
import type { PlacementCandidate } from './EndpointPicker'

/** Baseline: picks any candidate, by a hash of the task's id. @public */
export class RandomPicker extends EndpointPicker {
  override pick(
    _now: number,
    task: QueuedTask,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    if (candidates.length === 0) return undefined
    const draw = parseInt(hash64(task.taskId).slice(0, 8), 16)
    return candidates[draw % candidates.length]
  }
}
