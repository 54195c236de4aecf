import { AnswerBook } from './answers/AnswerBook'
import type { CoordinatorContext } from './CoordinatorContext'
import { createCounters } from './CoordinatorCounters'
import type { CoordinatorOptions } from './CoordinatorOptions'
import { defaultCoordinatorLimits, defaultCoordinatorTiming } from './CoordinatorOptions'
import { JobBook } from './jobs/JobBook'
import { Replies } from './jobs/Replies'
import { RequestBook } from './jobs/RequestBook'
import { KeyBook } from './keys/KeyBook'
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
  const members = new MemberBook(options.instance, options.boot, timing.ownerSilentMs)
  const outbox = new Outbox({
    counters,
    cancelBatchMs: timing.cancelBatchMs,
    owedCancelsPerOwner: limits.owedCancelsPerOwner,
    isReachable: (instance) => members.isAlive(instance),
  })
  const keys = new KeyBook()
  const requests = new RequestBook()
  const answers = new AnswerBook({
    retentionMs: timing.answerRetentionMs,
    maxAnswers: limits.keptAnswers,
    maxChars: limits.keptAnswerChars,
    onDropped: ({ keyId, jobId }) => {
      keys.forget(keyId, jobId)
    },
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
    keys,
    answers,
    requests,
    replies: new Replies(outbox, requests),
    inFlight: new TasksByOwner(),
    due: new DueWheel<DueItem>(),
  }
}
