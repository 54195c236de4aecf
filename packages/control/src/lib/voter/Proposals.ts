import { clone, create } from '@bufbuild/protobuf'
import { CommandAnswerSchema, CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { Command, CommandAnswer, Propose } from '@cherryhitch/protocol'
import type { AppliedEntry, VoterCore } from './VoterCore'

interface Waiter {
  readonly instance: string
  readonly requestId: string
}

/** Remembers who waits for which command, and answers each once it is applied. @internal */
export class Proposals {
  readonly #core: VoterCore
  readonly #waiting = new Map<string, Waiter[]>()

  constructor(core: VoterCore) {
    this.#core = core
  }

  /** Appends a command for the first who proposes it; others wait for the same answer. */
  accept(from: string, { requestId, command }: Propose): void {
    if (command === undefined) return
    const waiter = { instance: from, requestId }
    const { commandId } = command
    const first = this.#core.state?.answerTo(commandId)
    const waiting = this.#waiting.get(commandId)
    if (first !== undefined) {
      this.#answer(waiter, first)
    } else if (waiting !== undefined) {
      waiting.push(waiter)
    } else if (this.#waiting.size >= this.#core.config.limits.pendingProposals) {
      this.refuse(waiter, commandId, 'too many commands wait for their commit')
    } else {
      this.#waiting.set(commandId, [waiter])
      this.#core.appendCommand(command)
    }
  }

  /** Nothing was appended: the command truly did not take effect by this proposal. */
  refuse(waiter: Waiter, commandId: string, detail: string): void {
    this.#answer(waiter, answerWithout(commandId, CommandResult.UNAVAILABLE, detail))
  }

  onApplied({ entry, answer }: AppliedEntry): void {
    const commandId = entry.command?.commandId ?? ''
    for (const waiter of this.#waiting.get(commandId) ?? []) this.#answer(waiter, answer)
    this.#waiting.delete(commandId)
  }

  /** The leadership ended: what was appended may still be committed by another leader. */
  giveUp(): void {
    const detail = 'the leader stepped down before the commit'
    for (const [commandId, waiters] of this.#waiting) {
      const answer = answerWithout(commandId, CommandResult.UNKNOWN, detail)
      for (const waiter of waiters) this.#answer(waiter, answer)
    }
    this.#waiting.clear()
  }

  #answer({ instance, requestId }: Waiter, answer: CommandAnswer): void {
    const value = { requestId, answer, leader: this.#core.leader }
    this.#core.send(instance, { case: 'proposeReply', value })
  }
}

function answerWithout(commandId: string, result: CommandResult, detail: string): CommandAnswer {
  return create(CommandAnswerSchema, { commandId, result, detail })
}

/**
 * The command with the leader's clock on its claims, so that their retention goes by one clock.
 * A copy, since the same message may arrive again.
 *
 * @internal
 */
export function stampClaims(now: number, command: Command): Command {
  const kind = command.change.case
  if (kind !== 'claimKeys' && kind !== 'endClaims') return command
  const stamped = clone(CommandSchema, command)
  const { change } = stamped
  if (change.case === 'claimKeys') for (const claim of change.value.claims) claim.atMs = now
  if (change.case === 'endClaims') for (const end of change.value.ends) end.atMs = now
  return stamped
}
