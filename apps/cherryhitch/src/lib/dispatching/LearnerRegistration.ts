import { create } from '@bufbuild/protobuf'
import type { ControlNode } from '@cherryhitch/control'
import { CommandSchema, VoterChangeKind } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'

/** The leader's list of voters is read once a second, so it shows the outcome by then. */
const PROPOSAL_INTERVAL_MS = 1_500

/** @internal */
export interface LearnerRegistrationOptions {
  readonly instance: string
  readonly boot: number
  readonly control: ControlNode
  readonly now: () => number
  readonly log: PartLog
}

/**
 * Proposes the disk of this instance as a learner while the leader's list of voters lacks it: an
 * empty disk after a loss, an additional instance, or an instance that was replaced while it was
 * partitioned from the leader. The leader promotes a learner when a voter is missing.
 *
 * @internal
 */
export class LearnerRegistration {
  private isProposing = false
  private proposalCount = 0
  private nextProposalAt = -Infinity
  private isStopped = false

  constructor(private readonly options: LearnerRegistrationOptions) {}

  /** Called before the process stops: its disk must not join again once it has left. */
  stop(): void {
    this.isStopped = true
  }

  tick(): void {
    const { control } = this.options
    const diskId = control.diskId()
    const status = control.status()
    if (this.isStopped || this.isProposing || this.options.now() < this.nextProposalAt) return
    if (diskId === undefined || status === undefined) return
    if (status.members.some((member) => member.diskId === diskId)) return
    this.proposeLearner(diskId)
  }

  private proposeLearner(diskId: string): void {
    const { instance, boot, control, now, log } = this.options
    this.isProposing = true
    this.nextProposalAt = now() + PROPOSAL_INTERVAL_MS
    const commandId = `join.${diskId}.${boot}.${++this.proposalCount}`
    const kind = VoterChangeKind.ADD_LEARNER
    const reason = 'its instance has joined'
    const value = { kind, instance, diskId, operator: instance, reason, atMs: now() }
    const command = create(CommandSchema, { commandId, change: { case: 'changeVoters', value } })
    const proposed = Effect.map(control.propose(command), ({ result, detail }) => {
      this.isProposing = false
      log.info('proposed to join as a learner', { diskId, result, detail })
    })
    Effect.runFork(proposed)
  }
}
