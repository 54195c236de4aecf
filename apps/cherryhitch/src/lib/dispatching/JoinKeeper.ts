import { create } from '@bufbuild/protobuf'
import type { ControlNode } from '@cherryhitch/control'
import { CommandSchema, VoterChangeKind } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'

/** The leader's list of voters is read once a second, so the outcome shows by then. */
const ASK_AGAIN_MS = 1_500

/** @internal */
export interface JoinKeeperOptions {
  readonly instance: string
  readonly boot: number
  readonly control: ControlNode
  readonly now: () => number
  readonly log: PartLog
}

/**
 * Adds the own disk to the set of voters as a learner, when the leader does not list it: an empty
 * disk after a loss, a further instance, or one that was replaced while it was cut off. The leader
 * makes a learner a voter where one is missing.
 *
 * @internal
 */
export class JoinKeeper {
  private isAsking = false
  private asked = 0
  private askDueAt = -Infinity

  constructor(private readonly options: JoinKeeperOptions) {}

  tick(): void {
    const { control } = this.options
    const diskId = control.diskId()
    const status = control.status()
    if (this.isAsking || this.options.now() < this.askDueAt) return
    if (diskId === undefined || status === undefined) return
    if (status.members.some((member) => member.diskId === diskId)) return
    this.ask(diskId)
  }

  private ask(diskId: string): void {
    const { instance, boot, control, now, log } = this.options
    this.isAsking = true
    this.askDueAt = now() + ASK_AGAIN_MS
    const commandId = `join.${diskId}.${boot}.${++this.asked}`
    const kind = VoterChangeKind.ADD_LEARNER
    const reason = 'its instance has joined'
    const value = { kind, instance, diskId, operator: instance, reason, atMs: now() }
    const command = create(CommandSchema, { commandId, change: { case: 'changeVoters', value } })
    const asked = Effect.map(control.propose(command), ({ result, detail }) => {
      this.isAsking = false
      log.info('asked to join as a learner', { diskId, result, detail })
    })
    Effect.runFork(asked)
  }
}
