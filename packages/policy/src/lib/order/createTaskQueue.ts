import { exhaustive } from '@cherryhitch/model'
import { QueueOrder } from '@cherryhitch/protocol'
import { DeadlineFairQueue } from './DeadlineFairQueue'
import { FifoQueue } from './FifoQueue'
import type { QueuedTask, TaskQueue } from './TaskQueue'

/** Creates the queue selected by a preset. @public */
export function createTaskQueue<T extends QueuedTask>(order: QueueOrder): TaskQueue<T> {
  switch (order) {
    case QueueOrder.UNSPECIFIED:
    case QueueOrder.FIFO:
      return new FifoQueue<T>()
    case QueueOrder.DEADLINE_FAIR:
      return new DeadlineFairQueue<T>()
    default:
      return exhaustive(order)
  }
}
