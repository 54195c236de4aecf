import { LeaderWarmup } from '@cherryhitch/dispatch'
import { startVariableTimer } from '@cherryhitch/runtime'
import type { Effect } from 'effect'
import type { Scope } from 'effect'
import type { DispatchPart } from './startDispatchPart'
import type { ProcessContext } from './createProcessContext'

/** By this time after the start, links and the control log are up. */
const START_DELAY_MS = 1_500
/** Interval and maximum length of the slices: together a sixth of a core, in short bursts. */
const SLICE_INTERVAL_MS = 25
const SLICE_MS = 4
/** Interval of the timer once there is nothing left to do. */
const IDLE_INTERVAL_MS = 3_600_000

/**
 * Warms up the just-in-time compiler on an instance that is not the leader, by running the leader's
 * code on simulated jobs, in slices between the instance's own work. A leader needs no warm-up, as
 * its code runs on real jobs, and its processor time belongs to its callers.
 *
 * @internal
 */
export function startWarmUp(
  { settings, now, startedAt, log }: ProcessContext,
  { machine }: DispatchPart,
): Effect.Effect<void, never, Scope.Scope> {
  let warmUp: LeaderWarmup | undefined
  let isOver = false
  let spentMs = 0
  const end = (why: string): number => {
    isOver = true
    const completed = warmUp?.counters.jobs_completed ?? 0
    log.info('warm-up ended', { why, completed, spentMs: Math.round(spentMs) })
    warmUp = undefined
    return IDLE_INTERVAL_MS
  }
  return startVariableTimer(() => {
    if (isOver) return IDLE_INTERVAL_MS
    if (machine.leads) return end('this instance leads')
    if (now() < startedAt + START_DELAY_MS) return SLICE_INTERVAL_MS
    warmUp ??= new LeaderWarmup({ without: settings.without ?? [] })
    const since = performance.now()
    while (!warmUp.isDone && performance.now() < since + SLICE_MS) warmUp.step()
    spentMs += performance.now() - since
    return warmUp.isDone ? end('all steps were run') : SLICE_INTERVAL_MS
  })
}
