import { create } from '@bufbuild/protobuf'
import { CommandAnswerSchema, CommandResult, envelope } from '@cherryhitch/protocol'
import type { Command, CommandAnswer, ProposeReply } from '@cherryhitch/protocol'
import { ClientActionKind } from './ClientEvent'
import type { ClientAction } from './ClientEvent'
import type { ClientOptions } from './ClientOptions'
import type { LeaderFinder } from './LeaderFinder'

interface PendingProposal {
  readonly command: Command
  readonly deadline: number
  /** Request ids of attempts that may still be accepted: sent, and not refused. */
  readonly openAttempts: Set<string>
  target: string
  /** When to send the next attempt. */
  dueAt: number
}

/**
 * Sends commands to the leader. A command without an answer is sent again under the same command
 * id, to a new leader if there is one; the log applies it only once.
 *
 * @internal
 */
export class ProposalClient {
  readonly #options: ClientOptions
  readonly #finder: LeaderFinder
  readonly #pending = new Map<string, PendingProposal>()
  #attemptCount = 0

  constructor(options: ClientOptions, finder: LeaderFinder) {
    this.#options = options
    this.#finder = finder
  }

  propose(now: number, command: Command, timeoutMs: number): ClientAction[] {
    // A repeated proposal waits for the same answer, which the host passes to all waiters.
    if (this.#pending.has(command.commandId)) return []
    const deadline = now + timeoutMs
    const proposal = { command, deadline, openAttempts: new Set<string>(), target: '', dueAt: now }
    this.#pending.set(command.commandId, proposal)
    return this.#send(now, proposal)
  }

  onReply(now: number, from: string, reply: ProposeReply): ClientAction[] {
    const { requestId, answer, leader } = reply
    const isLeader = answer !== undefined && answer.result !== CommandResult.UNKNOWN
    if (isLeader) this.#finder.confirmLeader(from)
    else this.#finder.onLeaderHint(from, leader)
    const proposal = this.#find(requestId)
    if (proposal === undefined) return []
    if (answer?.result === CommandResult.UNKNOWN) {
      // The attempt stays open, since the next leader may commit it.
      proposal.dueAt = now + this.#options.timing.retryMs
      return []
    }
    if (answer === undefined || answer.result === CommandResult.UNAVAILABLE) {
      proposal.openAttempts.delete(requestId)
      proposal.target = ''
      proposal.dueAt = now + this.#options.timing.retryMs
      return []
    }
    return this.#finish(answer)
  }

  tick(now: number): ClientAction[] {
    return [...this.#pending.values()].flatMap((proposal) => {
      if (now >= proposal.deadline) return this.#finish(this.#timeoutAnswer(proposal))
      if (now < proposal.dueAt) return []
      this.#finder.clearLeader(proposal.target)
      return this.#send(now, proposal)
    })
  }

  #find(requestId: string): PendingProposal | undefined {
    return [...this.#pending.values()].find(({ openAttempts }) => openAttempts.has(requestId))
  }

  #send(now: number, proposal: PendingProposal): ClientAction[] {
    const { instance, boot, timing } = this.#options
    const to = this.#finder.confirmedLeader
    proposal.target = to
    proposal.dueAt = now + (to === '' ? timing.retryMs : timing.attemptMs)
    if (to === '') return []
    const requestId = `${instance}.${boot}.${++this.#attemptCount}`
    proposal.openAttempts.add(requestId)
    const value = { requestId, command: proposal.command }
    const message = envelope({ case: 'propose', value })
    return [{ kind: ClientActionKind.Send, to, envelope: message }]
  }

  /** The answer after the timeout: the command certainly had no effect if no attempt is open. */
  #timeoutAnswer({ command, openAttempts }: PendingProposal): CommandAnswer {
    const isUnknown = openAttempts.size > 0
    return create(CommandAnswerSchema, {
      commandId: command.commandId,
      result: isUnknown ? CommandResult.UNKNOWN : CommandResult.UNAVAILABLE,
      detail: isUnknown
        ? 'no answer from the quorum of voters'
        : 'no leader of the voters is known',
    })
  }

  #finish(answer: CommandAnswer): ClientAction[] {
    this.#pending.delete(answer.commandId)
    return [{ kind: ClientActionKind.Answered, answer }]
  }
}
