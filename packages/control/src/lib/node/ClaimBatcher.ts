import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { ClaimAnswer, Command, CommandAnswer, KeyClaim } from '@cherryhitch/protocol'
import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'
import { ControlError, ControlErrorKind } from '../errors/ControlError'

/** Maximum number of claims in a command; it bounds the size of a log entry. */
const MAX_CLAIMS_PER_COMMAND = 500

/**
 * The answer to a claim. Undefined if it was certainly not committed; an error if it may or may not
 * have been.
 *
 * @internal
 */
export type ClaimOutcome = Result<ClaimAnswer | undefined, ControlError>

interface PendingClaim {
  readonly claim: KeyClaim
  readonly deadline: number
  readonly done: (outcome: ClaimOutcome) => void
}

/**
 * Batches claims: while one command is in flight, new claims are collected for the next command.
 *
 * @internal
 */
export class ClaimBatcher {
  readonly #idPrefix: string
  #pending: PendingClaim[] = []
  #inFlight: { readonly commandId: string; readonly claims: readonly PendingClaim[] } | undefined
  #commandCount = 0

  /** @param idPrefix - prefix of the command ids; unique to this boot of the instance */
  constructor(idPrefix: string) {
    this.#idPrefix = idPrefix
  }

  get commandCount(): number {
    return this.#commandCount
  }

  add(claim: PendingClaim): void {
    this.#pending.push(claim)
  }

  /** The next command to propose, if claims are pending and no command is in flight. */
  next(now: number): Command | undefined {
    this.#dropExpired(now)
    if (this.#inFlight !== undefined || this.#pending.length === 0) return undefined
    const claims = this.#pending.slice(0, MAX_CLAIMS_PER_COMMAND)
    this.#pending = this.#pending.slice(MAX_CLAIMS_PER_COMMAND)
    const commandId = `claims.${this.#idPrefix}.${++this.#commandCount}`
    this.#inFlight = { commandId, claims }
    const value = { claims: claims.map(({ claim }) => claim) }
    return create(CommandSchema, { commandId, change: { case: 'claimKeys', value } })
  }

  /** Answers the claims of a command; false if the command is not from this batcher. */
  onAnswer(answer: CommandAnswer): boolean {
    const batch = this.#inFlight
    if (batch?.commandId !== answer.commandId) return false
    this.#inFlight = undefined
    batch.claims.forEach(({ done }, position) => {
      done(outcomeOf(answer, position))
    })
    return true
  }

  /** Claims that expire before they are sent are certainly not committed. */
  #dropExpired(now: number): void {
    const expired = this.#pending.filter(({ deadline }) => deadline <= now)
    if (expired.length === 0) return
    this.#pending = this.#pending.filter(({ deadline }) => deadline > now)
    for (const { done } of expired) done(Ok(undefined))
  }
}

function outcomeOf(answer: CommandAnswer, position: number): ClaimOutcome {
  const claim = answer.claims[position]
  if (answer.result === CommandResult.APPLIED && claim !== undefined) return Ok(claim)
  if (answer.result === CommandResult.UNAVAILABLE) return Ok(undefined)
  const detail = `the claim may have been committed: ${answer.detail}`
  return Err(new ControlError({ kind: ControlErrorKind.ClaimUnknown, detail }))
}
