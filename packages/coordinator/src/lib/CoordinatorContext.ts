import type { AnswerBook } from './answers/AnswerBook'
import type { CoordinatorCounters } from './CoordinatorCounters'
import type { CoordinatorLimits, CoordinatorOptions, CoordinatorTiming } from './CoordinatorOptions'
import type { JobBook } from './jobs/JobBook'
import type { Replies } from './jobs/Replies'
import type { RequestBook } from './jobs/RequestBook'
import type { KeyBook } from './keys/KeyBook'
import type { MemberBook } from './members/MemberBook'
import type { Outbox } from './Outbox'
import type { TasksByOwner } from './placement/TasksByOwner'
import type { PolicyBook } from './PolicyBook'
import type { DueItem } from './timers/DueItem'
import type { DueWheel } from './timers/DueWheel'

/** What the managers of one coordinator share. @internal */
export interface CoordinatorContext {
  readonly options: CoordinatorOptions
  readonly limits: CoordinatorLimits
  readonly timing: CoordinatorTiming
  readonly counters: CoordinatorCounters
  readonly outbox: Outbox
  readonly policies: PolicyBook
  readonly members: MemberBook
  readonly jobs: JobBook
  readonly keys: KeyBook
  readonly answers: AnswerBook
  readonly requests: RequestBook
  readonly replies: Replies
  readonly inFlight: TasksByOwner
  readonly due: DueWheel<DueItem>
}
