import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { ClaimEnd, Command, CommandAnswer } from '@cherryhitch/protocol'

/** Maximum numbers of ends and of answer bytes in a command; they bound the size of a log entry. */
const MAX_ENDS_PER_COMMAND = 500
const MAX_ANSWER_BYTES_PER_COMMAND = 1024 * 1024
/** Maximum number of ends that are kept pending while the quorum cannot be reached. */
const MAX_PENDING_ENDS = 20_000
/** Delay before a command that was not committed is proposed again. */
const RETRY_MS = 500

/**
 * Proposes the ends of claims in batches, and repeats each command until it is committed. If too
 * many ends are pending, the oldest are dropped: their claims stay held, and the outcome of their
 * jobs is reported as unknown, which is correct.
 *
 * @internal
 */
export class ClaimEndBatcher {
  readonly #idPrefix: string
  #pending: ClaimEnd[] = []
  #inFlight: Command | undefined
  #retryAt: number | undefined
  #commandCount = 0
  #droppedCount = 0

  constructor(idPrefix: string) {
    this.#idPrefix = idPrefix
  }

  /** Number of ends that were dropped without being proposed. */
  get droppedCount(): number {
    return this.#droppedCount
  }

  get pendingCount(): number {
    return this.#pending.length
  }

  add(end: ClaimEnd): void {
    this.#pending.push(end)
    if (this.#pending.length <= MAX_PENDING_ENDS) return
    this.#pending.shift()
    this.#droppedCount++
  }

  /** The command to propose now: the next batch, or the one in flight again. */
  next(now: number): Command | undefined {
    if (this.#inFlight !== undefined) {
      if (this.#retryAt === undefined || now < this.#retryAt) return undefined
      this.#retryAt = undefined
      return this.#inFlight
    }
    if (this.#pending.length === 0) return undefined
    const count = countForOneCommand(this.#pending)
    const ends = this.#pending.slice(0, count)
    this.#pending = this.#pending.slice(count)
    const commandId = `ends.${this.#idPrefix}.${++this.#commandCount}`
    const change = { case: 'endClaims' as const, value: { ends } }
    this.#inFlight = create(CommandSchema, { commandId, change })
    return this.#inFlight
  }

  /** Handles the answer to a command; false if the command is not from this batcher. */
  onAnswer(now: number, answer: CommandAnswer): boolean {
    if (this.#inFlight?.commandId !== answer.commandId) return false
    if (answer.result === CommandResult.APPLIED) this.#inFlight = undefined
    else this.#retryAt = now + RETRY_MS
    return true
  }
}

function countForOneCommand(ends: readonly ClaimEnd[]): number {
  let bytes = 0
  const firstExcluded = ends.findIndex(({ answer }, position) => {
    bytes += answer.length
    return position >= MAX_ENDS_PER_COMMAND || bytes > MAX_ANSWER_BYTES_PER_COMMAND
  })
  // An end that exceeds the limit by itself is still sent, as the only one in its command.
  return firstExcluded === -1 ? ends.length : Math.max(1, firstExcluded)
}
