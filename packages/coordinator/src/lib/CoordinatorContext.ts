import type { AnswerCache } from './answers/AnswerCache'
import type { CoordinatorCounters } from './CoordinatorCounters'
import type { CoordinatorLimits, CoordinatorOptions, CoordinatorTiming } from './CoordinatorOptions'
import type { JobBook } from './jobs/JobBook'
import type { Replies } from './jobs/Replies'
import type { RequestBook } from './jobs/RequestBook'
import type { KeyBook } from './keys/KeyBook'
import type { MemberTable } from './members/MemberTable'
import type { Outbox } from './Outbox'
import type { TasksByOwner } from './placement/TasksByOwner'
import type { ActivePolicies } from './ActivePolicies'
import type { DueItem } from './timers/DueItem'
import type { TimerWheel } from './timers/TimerWheel'

/** State and services shared by the components of one coordinator. @internal */
export interface CoordinatorContext {
  readonly options: CoordinatorOptions
  readonly limits: CoordinatorLimits
  readonly timing: CoordinatorTiming
  readonly counters: CoordinatorCounters
  readonly outbox: Outbox
  readonly policies: ActivePolicies
  readonly members: MemberTable
  readonly jobs: JobBook
  readonly keys: KeyBook
  readonly answers: AnswerCache
  readonly requests: RequestBook
  readonly replies: Replies
  readonly inFlight: TasksByOwner
  readonly due: TimerWheel<DueItem>
}
