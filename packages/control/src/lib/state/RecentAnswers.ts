import type { CommandAnswer } from '@cherryhitch/protocol'

/**
 * The first answer to each recent command, by command id, so that a resent command gets the same
 * answer.
 *
 * Answers to operators and answers to claims are bounded separately: a flood of claims must not
 * evict an answer that an operator may ask for again.
 *
 * @internal
 */
export class RecentAnswers {
  readonly #limit: number
  readonly #changeAnswers = new Map<string, CommandAnswer>()
  readonly #claimAnswers = new Map<string, CommandAnswer>()

  constructor(limit: number, answers: readonly CommandAnswer[]) {
    this.#limit = limit
    for (const answer of answers) this.add(answer)
  }

  find(commandId: string): CommandAnswer | undefined {
    return this.#changeAnswers.get(commandId) ?? this.#claimAnswers.get(commandId)
  }

  add(answer: CommandAnswer): void {
    const answers = answer.claims.length > 0 ? this.#claimAnswers : this.#changeAnswers
    answers.set(answer.commandId, answer)
    if (answers.size <= this.#limit) return
    const oldest = answers.keys().next()
    if (oldest.done !== true) answers.delete(oldest.value)
  }

  /** All answers; oldest first within each of the two groups. */
  list(): CommandAnswer[] {
    return [...this.#changeAnswers.values(), ...this.#claimAnswers.values()]
  }
}
