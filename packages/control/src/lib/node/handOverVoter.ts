import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { CommandAnswer } from '@cherryhitch/protocol'
import { Effect, Option } from 'effect'
import type { ControlNode } from './ControlNode'
import { nextHandoverChange } from './nextHandoverChange'
import type { HandoverChange } from './nextHandoverChange'

/** @public */
export interface HandOverVoterOptions {
  readonly control: ControlNode
  readonly instance: string
  readonly boot: number
  /** The handover is given up after this time, in milliseconds. */
  readonly limitMs: number
  readonly now: () => number
  readonly log: (line: string) => void
}

/**
 * Called before the process stops: gives the place of this instance's voter to a learner that has
 * caught up, if there is one. An instance that is replaced is gone for good when its process stops.
 * Its voter would otherwise be missing until it has been silent for long enough, and the next lost
 * disk would cost the majority. An instance that is only restarted joins again as a learner.
 *
 * Ends at once if no other member could take the place; never fails.
 *
 * @public
 */
export function handOverVoter(options: HandOverVoterOptions): Effect.Effect<void> {
  const { control, limitMs, log } = options
  const diskId = control.diskId()
  const known = control.status()
  // As a rule there is no learner, and then the process stops without asking the leader.
  if (diskId === undefined || known === undefined) return Effect.void
  if (nextHandoverChange(known, diskId) === undefined) return Effect.void
  return Effect.map(Effect.timeoutOption(makeChanges(options, diskId), limitMs), (done) => {
    if (Option.isNone(done)) log(`the vote of disk ${diskId} was not handed over in time`)
  })
}

/** Makes one change after the other until there is nothing left to do. */
function makeChanges(options: HandOverVoterOptions, diskId: string): Effect.Effect<void> {
  const { control, log } = options
  return Effect.gen(function* () {
    for (let count = 1; ; count++) {
      const { ok, voters } = yield* control.read(-1, 0)
      // The leadership may be on its way to another instance.
      if (!ok || voters === undefined) continue
      const next = nextHandoverChange(voters, diskId)
      if (next === undefined) return
      const { result, detail } = yield* propose(options, next, `leave.${diskId}.${count}`)
      log(`handing over the vote of disk ${diskId}: ${CommandResult[result]} ${detail}`)
    }
  })
}

function propose(
  { control, instance, boot, now }: HandOverVoterOptions,
  next: HandoverChange,
  id: string,
): Effect.Effect<CommandAnswer> {
  const reason = 'its process stops'
  const value = { ...next, operator: instance, reason, atMs: now() }
  const change = { case: 'changeVoters' as const, value }
  return control.propose(create(CommandSchema, { commandId: `${id}.${boot}`, change }))
}
