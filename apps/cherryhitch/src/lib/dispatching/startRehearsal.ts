import { Rehearsal } from '@cherryhitch/dispatch'
import { startPacedTimer } from '@cherryhitch/runtime'
import type { Effect } from 'effect'
import type { Scope } from 'effect'
import type { DispatchPart } from './startDispatchPart'
import type { ProcessContext } from './openProcess'

/** Links and the log are up by then, in milliseconds. */
const START_MS = 1_500
/** Time between two slices, and of each at most, in milliseconds: a sixth of a core, in short turns. */
const PACE_MS = 25
const SLICE_MS = 4
/** Nothing is left to do: the timer sleeps, in milliseconds. */
const OVER_MS = 3_600_000

/**
 * Has an instance that doesn't lead rehearse what a leader does, in slices between its own work. One
 * that leads has the real work to learn from, and its time is its callers'.
 *
 * @internal
 */
export function startRehearsal(
  { now, startedAt, log }: ProcessContext,
  { machine }: DispatchPart,
): Effect.Effect<void, never, Scope.Scope> {
  let rehearsal: Rehearsal | undefined
  let isOver = false
  let spentMs = 0
  const end = (why: string): number => {
    isOver = true
    const { completed = 0 } = rehearsal ?? {}
    log.info('the rehearsal is over', { why, completed, spentMs: Math.round(spentMs) })
    rehearsal = undefined
    return OVER_MS
  }
  return startPacedTimer(() => {
    if (isOver) return OVER_MS
    if (machine.leads) return end('this instance leads')
    if (now() < startedAt + START_MS) return PACE_MS
    rehearsal ??= new Rehearsal()
    const since = performance.now()
    while (!rehearsal.isOver && performance.now() < since + SLICE_MS) rehearsal.step()
    spentMs += performance.now() - since
    return rehearsal.isOver ? end('all was played') : PACE_MS
  })
}
