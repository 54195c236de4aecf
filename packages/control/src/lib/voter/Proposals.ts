import { clone, create } from '@bufbuild/protobuf'
import { CommandAnswerSchema, CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { Command, CommandAnswer, Propose } from '@cherryhitch/protocol'
import type { AppliedEntry, VoterCore } from './VoterCore'

interface Waiter {
  readonly instance: string
  readonly requestId: string
}

/**
 * Tracks the requests that wait for each command, and answers them once it is applied.
 *
 * @internal
 */
export class Proposals {
  readonly #core: VoterCore
  readonly #waiters = new Map<string, Waiter[]>()

  constructor(core: VoterCore) {
    this.#core = core
  }

  /** Appends a command when it is first proposed; later proposals wait for the same answer. */
  accept(from: string, { requestId, command }: Propose): void {
    if (command === undefined) return
    const waiter = { instance: from, requestId }
    const { commandId } = command
    const first = this.#core.state?.answerTo(commandId)
    const waiting = this.#waiters.get(commandId)
    if (first !== undefined) {
      this.#answer(waiter, first)
    } else if (waiting !== undefined) {
      waiting.push(waiter)
    } else if (this.#waiters.size >= this.#core.config.limits.maxPendingProposals) {
      this.refuse(waiter, commandId, 'too many commands wait for their commit')
    } else {
      this.#waiters.set(commandId, [waiter])
      this.#core.appendCommand(command)
    }
  }

  /** Answers as unavailable: nothing was appended, so this proposal had no effect. */
  refuse(waiter: Waiter, commandId: string, detail: string): void {
    this.#answer(waiter, makeAnswer(commandId, CommandResult.UNAVAILABLE, detail))
  }

  onApplied({ entry, answer }: AppliedEntry): void {
    const commandId = entry.command?.commandId ?? ''
    for (const waiter of this.#waiters.get(commandId) ?? []) this.#answer(waiter, answer)
    this.#waiters.delete(commandId)
  }

  /**
   * Answers all pending proposals as unknown when the leadership ends: another leader may still
   * commit the appended commands.
   */
  abandonAll(): void {
    const detail = 'the leader stepped down before the commit'
    for (const [commandId, waiters] of this.#waiters) {
      const answer = makeAnswer(commandId, CommandResult.UNKNOWN, detail)
      for (const waiter of waiters) this.#answer(waiter, answer)
    }
    this.#waiters.clear()
  }

  #answer({ instance, requestId }: Waiter, answer: CommandAnswer): void {
    const value = { requestId, answer, leader: this.#core.leader }
    this.#core.send(instance, { case: 'proposeReply', value })
  }
}

function makeAnswer(commandId: string, result: CommandResult, detail: string): CommandAnswer {
  return create(CommandAnswerSchema, { commandId, result, detail })
}

/**
 * Returns the command with the leader's time on its claims, so that retention is measured by a
 * single clock. Claims are stamped on a copy, since the same message may arrive again.
 *
 * @internal
 */
export function stampClaimTimes(now: number, command: Command): Command {
  const kind = command.change.case
  if (kind !== 'claimKeys' && kind !== 'endClaims') return command
  const stamped = clone(CommandSchema, command)
  const { change } = stamped
  if (change.case === 'claimKeys') for (const claim of change.value.claims) claim.atMs = now
  if (change.case === 'endClaims') for (const end of change.value.ends) end.atMs = now
  return stamped
}
