import { exhaustive } from '@cherryhitch/model'
import { QueueOrder } from '@cherryhitch/protocol'
import { FifoQueue } from './FifoQueue'
import type { QueuedTask, TaskQueue } from './TaskQueue'

/** Makes the queue that a preset names. @public */
export function createTaskQueue<T extends QueuedTask>(order: QueueOrder): TaskQueue<T> {
  switch (order) {
    case QueueOrder.UNSPECIFIED:
    case QueueOrder.FIFO:
    case QueueOrder.DEADLINE_FAIR:
      return new FifoQueue<T>()
    default:
      return exhaustive(order)
  }
}
