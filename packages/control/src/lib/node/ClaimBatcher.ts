import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { ClaimAnswer, Command, CommandAnswer, KeyClaim } from '@cherryhitch/protocol'
import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'
import { ControlError, ControlErrorKind } from '../errors/ControlError'

/** Claims in one command; it bounds the size of a log entry. */
const MAX_CLAIMS_PER_COMMAND = 500

/** Undefined: truly not claimed. An error: nobody knows. @internal */
export type ClaimOutcome = Result<ClaimAnswer | undefined, ControlError>

interface WaitingClaim {
  readonly claim: KeyClaim
  readonly deadline: number
  readonly done: (outcome: ClaimOutcome) => void
}

/**
 * Puts claims together that wait at the same time: while one command is under way, the claims that
 * arrive go out together in the next one.
 *
 * @internal
 */
export class ClaimBatcher {
  readonly #idPrefix: string
  #waiting: WaitingClaim[] = []
  #underWay: { readonly commandId: string; readonly claims: readonly WaitingClaim[] } | undefined
  #commands = 0

  /** @param idPrefix - unique to this boot of the instance */
  constructor(idPrefix: string) {
    this.#idPrefix = idPrefix
  }

  get commands(): number {
    return this.#commands
  }

  add(claim: WaitingClaim): void {
    this.#waiting.push(claim)
  }

  /** The next command to propose, when there are claims and none is under way. */
  next(now: number): Command | undefined {
    this.#dropOverdue(now)
    if (this.#underWay !== undefined || this.#waiting.length === 0) return undefined
    const claims = this.#waiting.slice(0, MAX_CLAIMS_PER_COMMAND)
    this.#waiting = this.#waiting.slice(MAX_CLAIMS_PER_COMMAND)
    const commandId = `claims.${this.#idPrefix}.${++this.#commands}`
    this.#underWay = { commandId, claims }
    const value = { claims: claims.map(({ claim }) => claim) }
    return create(CommandSchema, { commandId, change: { case: 'claimKeys', value } })
  }

  /** Answers the claims of a command; false for a command of somebody else. */
  onAnswer(answer: CommandAnswer): boolean {
    const batch = this.#underWay
    if (batch?.commandId !== answer.commandId) return false
    this.#underWay = undefined
    batch.claims.forEach(({ done }, position) => {
      done(outcomeOf(answer, position))
    })
    return true
  }

  /** Those that were never sent are truly not claimed. */
  #dropOverdue(now: number): void {
    const overdue = this.#waiting.filter(({ deadline }) => deadline <= now)
    if (overdue.length === 0) return
    this.#waiting = this.#waiting.filter(({ deadline }) => deadline > now)
    for (const { done } of overdue) done(Ok(undefined))
  }
}

function outcomeOf(answer: CommandAnswer, position: number): ClaimOutcome {
  const claim = answer.claims[position]
  if (answer.result === CommandResult.APPLIED && claim !== undefined) return Ok(claim)
  if (answer.result === CommandResult.UNAVAILABLE) return Ok(undefined)
  const detail = `the claim may have been committed: ${answer.detail}`
  return Err(new ControlError({ kind: ControlErrorKind.ClaimUnknown, detail }))
}
