import type { AnswerCache } from './answers/AnswerCache'
import type { CoordinatorCounters } from './CoordinatorCounters'
import type { CoordinatorLimits, CoordinatorOptions, CoordinatorTiming } from './CoordinatorOptions'
import type { JobTable } from './jobs/JobTable'
import type { Replies } from './jobs/Replies'
import type { RequestTable } from './jobs/RequestTable'
import type { KeyTable } from './keys/KeyTable'
import type { MemberTable } from './members/MemberTable'
import type { Outbox } from './Outbox'
import type { TasksByOwner } from './placement/TasksByOwner'
import type { ActivePolicies } from './ActivePolicies'
import type { CoordinatorTimer } from './timers/CoordinatorTimer'
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
  readonly jobs: JobTable
  readonly keys: KeyTable
  readonly answers: AnswerCache
  readonly requests: RequestTable
  readonly replies: Replies
  readonly tasksByOwner: TasksByOwner
  readonly timers: TimerWheel<CoordinatorTimer>
}
