import type { CoordinatorContext } from './CoordinatorContext'
import { createCounters } from './CoordinatorCounters'
import type { CoordinatorOptions } from './CoordinatorOptions'
import { defaultCoordinatorLimits, defaultCoordinatorTiming } from './CoordinatorOptions'
import { JobBook } from './jobs/JobBook'
import { MemberBook } from './members/MemberBook'
import { Outbox } from './Outbox'
import { TasksByOwner } from './placement/TasksByOwner'
import { PolicyBook } from './PolicyBook'
import type { DueItem } from './timers/DueItem'
import { DueWheel } from './timers/DueWheel'

/** Makes the books that the managers of one coordinator share. @internal */
export function createContext(options: CoordinatorOptions): CoordinatorContext {
  const limits = { ...defaultCoordinatorLimits, ...options.limits }
  const timing = { ...defaultCoordinatorTiming, ...options.timing }
  const counters = createCounters()
  const members = new MemberBook(options.instance, timing.ownerSilentMs)
  const outbox = new Outbox({
    counters,
    cancelBatchMs: timing.cancelBatchMs,
    owedCancelsPerOwner: limits.owedCancelsPerOwner,
    isReachable: (instance) => members.isAlive(instance),
  })
  return {
    options,
    limits,
    timing,
    counters,
    outbox,
    members,
    policies: new PolicyBook(options.preset),
    jobs: new JobBook(),
    inFlight: new TasksByOwner(),
    due: new DueWheel<DueItem>(),
  }
}
