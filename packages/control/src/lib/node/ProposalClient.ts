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
  /** Attempts that may still be accepted: sent, and not answered with a refusal. */
  readonly open: Set<string>
  target: string
  /** When to try again. */
  dueAt: number
}

/**
 * Brings commands to the leader. One that got no answer is sent again under the same command id,
 * to another voter if need be; the log answers it once.
 *
 * @internal
 */
export class ProposalClient {
  readonly #options: ClientOptions
  readonly #finder: LeaderFinder
  readonly #pending = new Map<string, PendingProposal>()
  #attempts = 0

  constructor(options: ClientOptions, finder: LeaderFinder) {
    this.#options = options
    this.#finder = finder
  }

  propose(now: number, command: Command, timeoutMs: number): ClientAction[] {
    // The same command twice gets one answer, and the shell gives it to all who wait.
    if (this.#pending.has(command.commandId)) return []
    const deadline = now + timeoutMs
    const proposal = { command, deadline, open: new Set<string>(), target: '', dueAt: now }
    this.#pending.set(command.commandId, proposal)
    return this.#send(now, proposal)
  }

  onReply(now: number, from: string, reply: ProposeReply): ClientAction[] {
    const { requestId, answer, leader } = reply
    const leads = answer !== undefined && answer.result !== CommandResult.UNKNOWN
    if (leads) this.#finder.confirm(from)
    else this.#finder.noteHint(from, leader)
    const proposal = this.#find(requestId)
    if (proposal === undefined) return []
    if (answer?.result === CommandResult.UNKNOWN) {
      // It stays open: the next leader may commit it.
      proposal.dueAt = now + this.#options.timing.retryMs
      return []
    }
    if (answer === undefined || answer.result === CommandResult.UNAVAILABLE) {
      proposal.open.delete(requestId)
      proposal.target = ''
      proposal.dueAt = now + this.#options.timing.retryMs
      return []
    }
    return this.#finish(answer)
  }

  tick(now: number): ClientAction[] {
    return [...this.#pending.values()].flatMap((proposal) => {
      if (now >= proposal.deadline) return this.#finish(this.#outcome(proposal))
      if (now < proposal.dueAt) return []
      this.#finder.noteSilence(proposal.target)
      return this.#send(now, proposal)
    })
  }

  #find(requestId: string): PendingProposal | undefined {
    return [...this.#pending.values()].find(({ open }) => open.has(requestId))
  }

  #send(now: number, proposal: PendingProposal): ClientAction[] {
    const { instance, boot, timing } = this.#options
    const to = this.#finder.confirmed
    proposal.target = to
    proposal.dueAt = now + (to === '' ? timing.retryMs : timing.attemptMs)
    if (to === '') return []
    const requestId = `${instance}.${boot}.${++this.#attempts}`
    proposal.open.add(requestId)
    const value = { requestId, command: proposal.command }
    const message = envelope({ case: 'propose', value })
    return [{ kind: ClientActionKind.Send, to, envelope: message }]
  }

  /** Time is up: only when every attempt was refused did the command truly not take effect. */
  #outcome({ command, open }: PendingProposal): CommandAnswer {
    const unknown = open.size > 0
    return create(CommandAnswerSchema, {
      commandId: command.commandId,
      result: unknown ? CommandResult.UNKNOWN : CommandResult.UNAVAILABLE,
      detail: unknown ? 'no answer from the quorum of voters' : 'no leader of the voters is known',
    })
  }

  #finish(answer: CommandAnswer): ClientAction[] {
    this.#pending.delete(answer.commandId)
    return [{ kind: ClientActionKind.Answered, answer }]
  }
}
