import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { ClaimEnd, Command, CommandAnswer } from '@cherryhitch/protocol'

/** Ends in one command, and bytes of their answers, which bound the size of a log entry. */
const MAX_ENDS_PER_COMMAND = 500
const MAX_ANSWER_BYTES_PER_COMMAND = 1024 * 1024
/** Ends that wait at most, while the quorum can't be reached. */
const MAX_WAITING = 20_000
/** Pause before a command that was not committed is proposed again, in milliseconds. */
const RETRY_MS = 500

/**
 * Brings the ends of claims into the log, in batches, and repeats until they are committed. When
 * too many wait, the oldest are dropped: their claims stay held and are told as unknown, which is
 * true.
 *
 * @internal
 */
export class ClaimEndBatcher {
  readonly #idPrefix: string
  #waiting: ClaimEnd[] = []
  #underWay: Command | undefined
  #retryAt: number | undefined
  #commands = 0
  #dropped = 0

  constructor(idPrefix: string) {
    this.#idPrefix = idPrefix
  }

  /** Ends that never got into the log. */
  get dropped(): number {
    return this.#dropped
  }

  get waiting(): number {
    return this.#waiting.length
  }

  add(end: ClaimEnd): void {
    this.#waiting.push(end)
    if (this.#waiting.length <= MAX_WAITING) return
    this.#waiting.shift()
    this.#dropped++
  }

  /** The command to propose now: the next batch, or the last one again. */
  next(now: number): Command | undefined {
    if (this.#underWay !== undefined) {
      if (this.#retryAt === undefined || now < this.#retryAt) return undefined
      this.#retryAt = undefined
      return this.#underWay
    }
    if (this.#waiting.length === 0) return undefined
    const count = countForOneCommand(this.#waiting)
    const ends = this.#waiting.slice(0, count)
    this.#waiting = this.#waiting.slice(count)
    const commandId = `ends.${this.#idPrefix}.${++this.#commands}`
    const change = { case: 'endClaims' as const, value: { ends } }
    this.#underWay = create(CommandSchema, { commandId, change })
    return this.#underWay
  }

  /** False for a command of somebody else. */
  onAnswer(now: number, answer: CommandAnswer): boolean {
    if (this.#underWay?.commandId !== answer.commandId) return false
    if (answer.result === CommandResult.APPLIED) this.#underWay = undefined
    else this.#retryAt = now + RETRY_MS
    return true
  }
}

function countForOneCommand(ends: readonly ClaimEnd[]): number {
  let bytes = 0
  const tooMuch = ends.findIndex(({ answer }, position) => {
    bytes += answer.length
    return position >= MAX_ENDS_PER_COMMAND || bytes > MAX_ANSWER_BYTES_PER_COMMAND
  })
  // One that is too large by itself still goes, alone.
  return tooMuch === -1 ? ends.length : Math.max(1, tooMuch)
}
