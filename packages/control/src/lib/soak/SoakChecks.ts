import { AuditKind, ClaimState, ClaimVerdict, CommandResult } from '@cherryhitch/protocol'
import type { AuditRecord, Command, CommandAnswer, SettingsState } from '@cherryhitch/protocol'
import { verifyAudit } from '../state/auditChain'
import type { ControlAction, ControlActionKind } from '../voter/ControlAction'
import { EVERY_INSTANCE } from '../voter/SettingsRollout'

type Applied = Extract<ControlAction, { kind: ControlActionKind.Applied }>

/** What must hold in every run; a breach throws. @internal */
export class SoakChecks {
  readonly #leaders = new Map<number, string>()
  readonly #applied = new Map<number, string>()
  readonly #commands = new Set<string>()
  /** Ends of claims may be repeated without an effect; their answers are not remembered. */
  readonly #repeatable = new Set<string>()
  readonly #answers = new Map<string, string>()
  /** Job that holds each key, and whether it was released. */
  readonly #holders = new Map<string, { job: string; released: boolean }>()
  #everywhere = 0
  #highestIndex = 0
  #highestVersion = 0

  get highestIndex(): number {
    return this.#highestIndex
  }

  isCommitted(commandId: string): boolean {
    return this.#commands.has(commandId)
  }

  noteLeader(term: number, diskId: string): void {
    const first = this.#leaders.get(term) ?? diskId
    assertThat(first === diskId, `term ${term} has two leaders, ${first} and ${diskId}`)
    this.#leaders.set(term, first)
  }

  /** A committed entry was applied by some voter. */
  noteApplied({ index, term, command, answer }: Applied): void {
    const entry = `${term} ${command.commandId} ${answer.result} ${answer.version}`
    const first = this.#applied.get(index)
    assertThat(first === undefined || first === entry, `entry ${index}: ${first} became ${entry}`)
    if (first !== undefined) return
    assertThat(
      index === this.#highestIndex + 1 || index > this.#highestIndex,
      'an entry was skipped',
    )
    this.#applied.set(index, entry)
    this.#highestIndex = Math.max(this.#highestIndex, index)
    // A repeated command has its first answer, whose version is older.
    if (this.#commands.has(command.commandId)) return
    this.#commands.add(command.commandId)
    const { case: kind } = command.change
    if (kind === 'endClaims' || kind === 'noop') this.#repeatable.add(command.commandId)
    assertThat(answer.version >= this.#highestVersion, 'a version went back in the log')
    this.#highestVersion = answer.version
    this.#noteClaims(command, answer)
    this.#noteInForce(command)
  }

  /** An instance got an answer: it is committed, and the same one each time. */
  noteAnswer(answer: CommandAnswer): void {
    const { commandId, result, version } = answer
    if (result === CommandResult.UNAVAILABLE || result === CommandResult.UNKNOWN) return
    assertThat(this.#commands.has(commandId), `${commandId} was answered but not committed`)
    if (this.#repeatable.has(commandId)) return
    const told = `${result} ${version}`
    const first = this.#answers.get(commandId) ?? told
    assertThat(first === told, `${commandId} was answered ${first}, then ${told}`)
    this.#answers.set(commandId, first)
  }

  /** An instance uses these settings now. */
  noteSettings(instance: string, before: number, settings: SettingsState, current: boolean): void {
    const { version } = settings
    assertThat(version >= before, `${instance} went back from version ${before} to ${version}`)
    const known = version <= Math.max(this.#highestVersion, 1)
    assertThat(known, `${instance} has version ${version}, which is not committed`)
    this.checkCurrent(instance, version, current)
  }

  /** Once a version counts as in force, nobody calls an older one current. */
  checkCurrent(instance: string, version: number, current: boolean): void {
    const older = current && version < this.#everywhere
    assertThat(!older, `${instance} calls ${version} current, ${this.#everywhere} is in force`)
  }

  /** At the end, when all is healed. */
  checkEnd(
    atLeast: number,
    commitIndex: number,
    records: readonly AuditRecord[],
    settings: SettingsState,
  ): void {
    assertThat(commitIndex >= atLeast, `entries after ${commitIndex} were lost`)
    const verified = verifyAudit(records, settings)
    assertThat(verified.ok, `the audit record does not verify: ${JSON.stringify(verified.val)}`)
    const versions = records.filter(({ kind }) => {
      return kind === AuditKind.PRESET_SET || kind === AuditKind.PRESET_DEFINED
    })
    assertThat(versions.length === settings.version - 1, 'a version has no audit record')
  }

  #noteClaims(command: Command, answer: CommandAnswer): void {
    const { change } = command
    if (change.case === 'endClaims') {
      for (const { submissionKey, jobId, answer: result } of change.value.ends) {
        const holder = this.#holders.get(submissionKey)
        if (holder?.job === jobId && result.length === 0) holder.released = true
      }
    }
    if (change.case !== 'claimKeys') return
    change.value.claims.forEach(({ submissionKey, jobId }, position) => {
      const claim = answer.claims[position]
      if (claim?.verdict !== ClaimVerdict.GRANTED) return
      const holder = this.#holders.get(submissionKey)
      const free = holder === undefined || holder.job === jobId || holder.released
      assertThat(free, `key ${submissionKey} was granted to ${holder?.job} and ${jobId}`)
      assertThat(claim.state === ClaimState.CLAIMED, 'a granted claim is not claimed')
      this.#holders.set(submissionKey, { job: jobId, released: false })
    })
  }

  #noteInForce({ change }: Command): void {
    if (change.case !== 'recordInForce') return
    for (const { instance, version } of change.value.instances) {
      if (instance === EVERY_INSTANCE) this.#everywhere = Math.max(this.#everywhere, version)
    }
  }
}

/** @internal */
export function assertThat(holds: boolean, breach: string): asserts holds {
  if (!holds) throw new Error(`invariant broken: ${breach}`)
}
