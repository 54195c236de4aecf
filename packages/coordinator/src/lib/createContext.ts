import { AnswerCache } from './answers/AnswerCache'
import type { CoordinatorContext } from './CoordinatorContext'
import { createCounters } from './CoordinatorCounters'
import type { CoordinatorOptions } from './CoordinatorOptions'
import { defaultCoordinatorLimits, defaultCoordinatorTiming } from './CoordinatorOptions'
import { JobTable } from './jobs/JobTable'
import { Replies } from './jobs/Replies'
import { RequestTable } from './jobs/RequestTable'
import { KeyTable } from './keys/KeyTable'
import { MemberTable } from './members/MemberTable'
import { Outbox } from './Outbox'
import { TasksByOwner } from './placement/TasksByOwner'
import { ActivePolicies } from './ActivePolicies'
import type { CoordinatorTimer } from './timers/CoordinatorTimer'
import { TimerWheel } from './timers/TimerWheel'

/** Creates the state and services shared by the components of one coordinator. @internal */
export function createContext(options: CoordinatorOptions): CoordinatorContext {
  const limits = { ...defaultCoordinatorLimits, ...options.limits }
  const timing = { ...defaultCoordinatorTiming, ...options.timing }
  const counters = createCounters()
  const members = new MemberTable(options.instance, options.boot, timing.ownerSilenceLimitMs)
  const outbox = new Outbox({
    counters,
    cancelBatchMs: timing.cancelBatchMs,
    pendingCancelsPerOwner: limits.pendingCancelsPerOwner,
    isReachable: (instance) => members.isAlive(instance),
  })
  const keys = new KeyTable()
  const requests = new RequestTable()
  const answers = new AnswerCache({
    retentionMs: timing.answerRetentionMs,
    maxAnswers: limits.keptAnswers,
    maxChars: limits.keptAnswerChars,
    onEvicted: ({ keyId, jobId }) => {
      keys.remove(keyId, jobId)
    },
  })
  return {
    options,
    limits,
    timing,
    counters,
    outbox,
    members,
    policies: new ActivePolicies(options.preset),
    jobs: new JobTable(),
    keys,
    answers,
    requests,
    replies: new Replies(outbox, requests),
    tasksByOwner: new TasksByOwner(),
    timers: new TimerWheel<CoordinatorTimer>(),
  }
}
