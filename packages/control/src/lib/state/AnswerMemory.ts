import type { CommandAnswer } from '@cherryhitch/protocol'

/**
 * First answers by command id, so that a resend gets the same one.
 *
 * Operators' answers and those of claims have a bound each: a flood of claims must not push out
 * the answer that an operator asks for again.
 *
 * @internal
 */
export class AnswerMemory {
  readonly #limit: number
  readonly #changes = new Map<string, CommandAnswer>()
  readonly #claims = new Map<string, CommandAnswer>()

  constructor(limit: number, answers: readonly CommandAnswer[]) {
    this.#limit = limit
    for (const answer of answers) this.remember(answer)
  }

  find(commandId: string): CommandAnswer | undefined {
    return this.#changes.get(commandId) ?? this.#claims.get(commandId)
  }

  remember(answer: CommandAnswer): void {
    const answers = answer.claims.length > 0 ? this.#claims : this.#changes
    answers.set(answer.commandId, answer)
    if (answers.size <= this.#limit) return
    const oldest = answers.keys().next()
    if (oldest.done !== true) answers.delete(oldest.value)
  }

  /** All answers, oldest first within each kind. */
  list(): CommandAnswer[] {
    return [...this.#changes.values(), ...this.#claims.values()]
  }
}
