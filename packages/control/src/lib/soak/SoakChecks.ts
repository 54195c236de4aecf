import { ClaimState, ClaimVerdict, CommandResult } from '@cherryhitch/protocol'
import type { AuditRecord, Command, CommandAnswer, SettingsState } from '@cherryhitch/protocol'
import { verifyAudit } from '../state/auditChain'
import { changesSettings } from '../state/ControlState'
import type { ControlAction, ControlActionKind } from '../voter/ControlAction'
import { EVERY_INSTANCE } from '../voter/SettingsRollout'

type Applied = Extract<ControlAction, { kind: ControlActionKind.Applied }>

/** Invariants that must hold in every run; a violation throws. @internal */
export class SoakChecks {
  readonly #leaders = new Map<number, string>()
  readonly #applied = new Map<number, string>()
  readonly #committedCommands = new Set<string>()
  /** Commands whose answers are not stored: repeating a claim end or a no-op has no effect. */
  readonly #unrememberedCommands = new Set<string>()
  readonly #answers = new Map<string, string>()
  /** The job that last claimed each key, and whether it has released the key. */
  readonly #holders = new Map<string, { job: string; released: boolean }>()
  #versionInForceEverywhere = 0
  #highestIndex = 0
  #highestVersion = 0

  get highestIndex(): number {
    return this.#highestIndex
  }

  isCommitted(commandId: string): boolean {
    return this.#committedCommands.has(commandId)
  }

  recordLeader(term: number, diskId: string): void {
    const first = this.#leaders.get(term) ?? diskId
    assertInvariant(first === diskId, `term ${term} has two leaders, ${first} and ${diskId}`)
    this.#leaders.set(term, first)
  }

  /** Called when a voter applies a committed entry; all voters must apply the same entries. */
  recordApplied({ index, term, command, answer }: Applied): void {
    const entry = `${term} ${command.commandId} ${answer.result} ${answer.version}`
    const first = this.#applied.get(index)
    assertInvariant(
      first === undefined || first === entry,
      `entry ${index}: ${first} became ${entry}`,
    )
    if (first !== undefined) return
    assertInvariant(
      index === this.#highestIndex + 1 || index > this.#highestIndex,
      'an entry was skipped',
    )
    this.#applied.set(index, entry)
    this.#highestIndex = Math.max(this.#highestIndex, index)
    // A repeated command gets its first answer, which may hold an older version.
    if (this.#committedCommands.has(command.commandId)) return
    this.#committedCommands.add(command.commandId)
    const { case: kind } = command.change
    if (kind === 'endClaims' || kind === 'noop') this.#unrememberedCommands.add(command.commandId)
    assertInvariant(
      answer.version >= this.#highestVersion,
      'the settings version decreased in the log',
    )
    this.#highestVersion = answer.version
    this.#recordClaims(command, answer)
    this.#recordInForce(command)
  }

  /** Called when an instance got an answer: its command must be committed, its answer unchanged. */
  recordAnswer(answer: CommandAnswer): void {
    const { commandId, result, version } = answer
    if (result === CommandResult.UNAVAILABLE || result === CommandResult.UNKNOWN) return
    assertInvariant(
      this.#committedCommands.has(commandId),
      `${commandId} was answered but not committed`,
    )
    if (this.#unrememberedCommands.has(commandId)) return
    const answered = `${result} ${version}`
    const first = this.#answers.get(commandId) ?? answered
    assertInvariant(first === answered, `${commandId} was answered ${first}, then ${answered}`)
    this.#answers.set(commandId, first)
  }

  /** Called when settings take effect at an instance, or become or cease to be current. */
  recordSettings(
    instance: string,
    before: number,
    settings: SettingsState,
    current: boolean,
  ): void {
    const { version } = settings
    assertInvariant(version >= before, `${instance} went back from version ${before} to ${version}`)
    const known = version <= Math.max(this.#highestVersion, 1)
    assertInvariant(known, `${instance} has version ${version}, which is not committed`)
    this.checkCurrent(instance, version, current)
  }

  /** Once a version is in force everywhere, no instance may treat an older one as current. */
  checkCurrent(instance: string, version: number, current: boolean): void {
    const isOutdated = current && version < this.#versionInForceEverywhere
    assertInvariant(
      !isOutdated,
      `${instance} calls ${version} current, ${this.#versionInForceEverywhere} is in force`,
    )
  }

  /** Called at the end of a run, after the recovery from all faults. */
  checkEnd(
    atLeast: number,
    commitIndex: number,
    records: readonly AuditRecord[],
    settings: SettingsState,
  ): void {
    assertInvariant(commitIndex >= atLeast, `entries after ${commitIndex} were lost`)
    const verified = verifyAudit(records, settings)
    assertInvariant(verified.ok, `the audit log does not verify: ${JSON.stringify(verified.val)}`)
    const versions = records.filter(changesSettings)
    assertInvariant(
      versions.length === settings.version - 1,
      'the number of audit records does not match the settings version',
    )
  }

  #recordClaims(command: Command, answer: CommandAnswer): void {
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
      const isFree = holder === undefined || holder.job === jobId || holder.released
      assertInvariant(isFree, `key ${submissionKey} was granted to ${holder?.job} and ${jobId}`)
      assertInvariant(claim.state === ClaimState.CLAIMED, 'a granted claim is not in state CLAIMED')
      this.#holders.set(submissionKey, { job: jobId, released: false })
    })
  }

  #recordInForce({ change }: Command): void {
    if (change.case !== 'recordInForce') return
    for (const { instance, version } of change.value.instances) {
      if (instance === EVERY_INSTANCE)
        this.#versionInForceEverywhere = Math.max(this.#versionInForceEverywhere, version)
    }
  }
}

/** @internal */
export function assertInvariant(holds: boolean, violation: string): asserts holds {
  if (!holds) throw new Error(`invariant broken: ${violation}`)
}
