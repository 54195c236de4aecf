import { create, toJson } from '@bufbuild/protobuf'
import { exhaustive } from '@cherryhitch/model'
import {
  AuditKind,
  CommandAnswerSchema,
  CommandResult,
  ControlSnapshotSchema,
  PresetDefinitionSchema,
  RoutingStateSchema,
  SettingsStateSchema,
  VoterChangeKind,
} from '@cherryhitch/protocol'
import type {
  AuditRecord,
  ChangeVoters,
  Command,
  CommandAnswer,
  ControlSnapshot,
  DefinePreset,
  InForceAt,
  PresetDefinition,
  PutRouting,
  RoutingState,
  SetPreset,
  SettingsState,
  SetZoneDrain,
  Voter,
  ZoneDrain,
} from '@cherryhitch/protocol'
import { RecentAnswers } from './RecentAnswers'
import { chainRecord } from './auditChain'
import type { AuditContent } from './auditChain'
import { ClaimTable } from './ClaimTable'
import { validatePreset } from './presets'
import { changeMembers } from './voterSet'
import { changeZoneDrains, ZoneDrainRefusal } from './zoneDrains'

/** Schema version of the stored snapshot. @internal */
export const SNAPSHOT_SCHEMA_VERSION = 1

/** @public */
export interface ControlStateOptions {
  /** Maximum number of claims; further ones are refused. */
  readonly claimLimit: number
  /** Minimum time for which an ended claim is kept, in milliseconds. */
  readonly claimRetentionMs: number
  /** Maximum number of answers kept, for operators' commands and for claims separately. */
  readonly answerLimit: number
}

/** `docs/design/claims.md` gives the reasons for these values. @public */
export const defaultControlStateOptions: ControlStateOptions = {
  claimLimit: 100_000,
  claimRetentionMs: 6 * 3_600_000,
  answerLimit: 2_000,
}

/**
 * The replicated state machine: the result of applying the committed commands in order. Applying a
 * command is deterministic, so voters that apply the same commands hold the same state.
 *
 * @public
 */
export class ControlState {
  readonly #recentAnswers: RecentAnswers
  readonly #claims: ClaimTable
  readonly #audit: AuditRecord[]
  /** Newest audit record that changed the settings. */
  #lastSettingsChange: AuditRecord | undefined
  readonly #inForce = new Map<string, InForceAt>()
  #settings: SettingsState
  #voters: readonly Voter[]
  #routing: RoutingState

  constructor(snapshot: ControlSnapshot, options = defaultControlStateOptions) {
    const { claimLimit: limit, claimRetentionMs: retentionMs, answerLimit } = options
    this.#recentAnswers = new RecentAnswers(answerLimit, snapshot.recentAnswers)
    this.#claims = new ClaimTable({ limit, retentionMs }, snapshot.claims)
    this.#audit = [...snapshot.audit]
    this.#settings = snapshot.settings ?? create(SettingsStateSchema)
    this.#voters = snapshot.voters
    this.#routing = snapshot.routing ?? create(RoutingStateSchema)
    for (const record of this.#audit) this.#indexRecord(record)
  }

  get settings(): SettingsState {
    return this.#settings
  }

  /** The routing set by operators; version 0 until there is one. */
  get routing(): RoutingState {
    return this.#routing
  }

  get voters(): readonly Voter[] {
    return this.#voters
  }

  /** Number of claims and audit records, a measure of the cost of a snapshot. */
  get size(): number {
    return this.#claims.size + this.#audit.length
  }

  get claimCount(): number {
    return this.#claims.size
  }

  /** The first answer to a command, as long as it is kept. */
  answerTo(commandId: string): CommandAnswer | undefined {
    return this.#recentAnswers.find(commandId)
  }

  /** At most `limit` audit records, starting at a position. */
  audit(from: number, limit: number): AuditRecord[] {
    return this.#audit.slice(from, from + limit)
  }

  /** True if an audit record already says that this or a later version took effect there. */
  isRecordedInForce({ instance, boot, version }: InForceAt): boolean {
    const recorded = this.#inForce.get(instance)
    if (recorded === undefined) return false
    if (recorded.version > version) return true
    return recorded.version === version && recorded.boot === boot
  }

  snapshot(lastIndex: number, lastTerm: number): ControlSnapshot {
    return create(ControlSnapshotSchema, {
      schemaVersion: SNAPSHOT_SCHEMA_VERSION,
      lastIndex,
      lastTerm,
      settings: this.#settings,
      audit: [...this.#audit],
      claims: this.#claims.list(),
      recentAnswers: this.#recentAnswers.list(),
      voters: [...this.#voters],
      routing: this.#routing,
    })
  }

  /** Applies a committed command and returns its answer; a repeated command changes nothing. */
  apply(command: Command): CommandAnswer {
    const { commandId, change } = command
    const first = this.#recentAnswers.find(commandId)
    if (first !== undefined) return first
    switch (change.case) {
      case 'setPreset':
        return this.#recordAnswer(this.#setPreset(commandId, change.value))
      case 'definePreset':
        return this.#recordAnswer(this.#definePreset(commandId, change.value))
      case 'changeVoters':
        return this.#recordAnswer(this.#changeVoters(commandId, change.value))
      case 'claimKeys': {
        const claims = change.value.claims.map((claim) => this.#claims.claim(claim))
        const answer = this.#appliedAnswer(commandId)
        answer.claims = claims
        return claims.length === 0 ? answer : this.#recordAnswer(answer)
      }
      case 'endClaims':
        for (const end of change.value.ends) this.#claims.end(end)
        return this.#appliedAnswer(commandId)
      case 'recordInForce':
        for (const inForce of change.value.instances) this.#recordInForce(commandId, inForce)
        return this.#appliedAnswer(commandId)
      case 'putRouting':
        return this.#recordAnswer(this.#putRouting(commandId, change.value))
      case 'setZoneDrain':
        return this.#recordAnswer(this.#setZoneDrain(commandId, change.value))
      case 'noop':
        return this.#appliedAnswer(commandId)
      case undefined:
        // Skipping the entry would silently lose what other voters acknowledged.
        throw new Error(`the log has a command that this build does not know: ${commandId}`)
      default:
        return exhaustive(change)
    }
  }

  #setPreset(commandId: string, change: SetPreset): CommandAnswer {
    const refusal = this.#checkChange(commandId, change)
    if (refusal !== undefined) return refusal
    if (!this.#settings.definitions.some(({ name }) => name === change.name)) {
      return this.#makeAnswer(
        commandId,
        CommandResult.REJECTED,
        `no preset is named ${change.name}`,
      )
    }
    const { operator, reason, atMs } = change
    const from = this.#settings.preset
    const kind = AuditKind.PRESET_SET
    const content = { kind, operator, reason, from, to: change.name, atMs, commandId }
    this.#changeSettings(content, { preset: change.name })
    return this.#appliedAnswer(commandId)
  }

  #definePreset(commandId: string, change: DefinePreset): CommandAnswer {
    const refusal = this.#checkChange(commandId, change)
    if (refusal !== undefined) return refusal
    const { definition, operator, reason, atMs } = change
    if (definition === undefined) {
      return this.#makeAnswer(commandId, CommandResult.REJECTED, 'the definition is missing')
    }
    const valid = validatePreset(definition)
    if (valid.err) return this.#makeAnswer(commandId, CommandResult.REJECTED, valid.val)
    const { definitions } = this.#settings
    const old = definitions.find(({ name }) => name === definition.name)
    const rest = definitions.filter((other) => other !== old)
    const from = old === undefined ? '' : formatDefinition(old)
    const kind = AuditKind.PRESET_DEFINED
    const content = {
      kind,
      operator,
      reason,
      from,
      to: formatDefinition(definition),
      atMs,
      commandId,
    }
    this.#changeSettings(content, { definitions: [...rest, definition] })
    return this.#appliedAnswer(commandId)
  }

  #setZoneDrain(commandId: string, order: SetZoneDrain): CommandAnswer {
    const { zone, drained, operator, reason, atMs } = order
    if (operator === '' || reason === '') return this.#rejectAnonymous(commandId)
    const { zoneDrains, version } = this.#settings
    const changed = changeZoneDrains(zoneDrains, order, version + 1)
    if (changed.err) {
      const isOutdated = changed.val.refusal === ZoneDrainRefusal.Outdated
      const result = isOutdated ? CommandResult.CONFLICT : CommandResult.REJECTED
      return this.#makeAnswer(commandId, result, changed.val.detail)
    }
    if (changed.val === undefined) {
      const detail = `zone ${zone} ${drained ? 'is drained already' : 'is not drained'}`
      return this.#makeAnswer(commandId, CommandResult.APPLIED, detail)
    }
    const kind = drained ? AuditKind.ZONE_DRAINED : AuditKind.ZONE_RESTORED
    this.#changeSettings(
      { kind, operator, reason, to: zone, atMs, commandId },
      { zoneDrains: changed.val },
    )
    return this.#appliedAnswer(commandId)
  }

  /** Operators race and resend, so an outdated version is not an error: it changes nothing. */
  #putRouting(commandId: string, { version, document, atMs }: PutRouting): CommandAnswer {
    const held = this.#routing.version
    if (version > held) {
      const kind = AuditKind.ROUTING_SET
      const { version: settingsVersion } = this.#settings
      const from = `routing ${held}`
      const to = `routing ${version}`
      this.#appendRecord({ kind, from, to, atMs, commandId, version: settingsVersion })
      this.#routing = create(RoutingStateSchema, { version, document })
    }
    return this.#appliedAnswer(commandId)
  }

  #changeVoters(commandId: string, change: ChangeVoters): CommandAnswer {
    const changed = changeMembers(this.#voters, change)
    if (changed.err) return this.#makeAnswer(commandId, CommandResult.REJECTED, changed.val)
    const { operator, reason, atMs, instance, diskId } = change
    const to = `${VoterChangeKind[change.kind].toLowerCase()} ${diskId} on ${instance}`
    const kind = AuditKind.VOTERS_CHANGED
    const from = this.#voters.map(formatVoter).join(' ')
    const { version } = this.#settings
    this.#appendRecord({ kind, operator, reason, from, to, atMs, commandId, instance, version })
    this.#voters = changed.val
    return this.#appliedAnswer(commandId)
  }

  #recordInForce(commandId: string, inForce: InForceAt): void {
    if (this.isRecordedInForce(inForce)) return
    const { instance, boot, version, atMs } = inForce
    const kind = AuditKind.IN_FORCE
    this.#appendRecord({ kind, instance, boot, version, atMs, commandId })
  }

  /**
   * Returns a rejection if operator or reason is missing, or a conflict if the change starts from a
   * version that is not the newest; undefined if the change may be made.
   */
  #checkChange(commandId: string, change: SetPreset | DefinePreset): CommandAnswer | undefined {
    if (change.operator === '' || change.reason === '') return this.#rejectAnonymous(commandId)
    if (change.fromVersion === this.#settings.version) return undefined
    return this.#makeAnswer(
      commandId,
      CommandResult.CONFLICT,
      this.#describeConflict(change.fromVersion),
    )
  }

  #rejectAnonymous(commandId: string): CommandAnswer {
    const detail = 'operator and reason must be given'
    return this.#makeAnswer(commandId, CommandResult.REJECTED, detail)
  }

  #describeConflict(fromVersion: number): string {
    const winner = this.#lastSettingsChange
    const by = winner === undefined ? '' : `, made by ${winner.operator} (${winner.commandId})`
    const { version, preset } = this.#settings
    return `changes from version ${fromVersion}, but version ${version} is the newest${by}; preset ${preset}`
  }

  #changeSettings(
    content: AuditContent,
    change: { preset?: string; definitions?: PresetDefinition[]; zoneDrains?: ZoneDrain[] },
  ): void {
    const version = this.#settings.version + 1
    const { hash: auditHash } = this.#appendRecord({ ...content, version })
    const { preset, definitions, zoneDrains } = this.#settings
    const fields = { preset, definitions, zoneDrains, ...change, version, auditHash }
    this.#settings = create(SettingsStateSchema, fields)
  }

  #appendRecord(content: AuditContent): AuditRecord {
    const record = chainRecord(this.#audit.at(-1), content)
    this.#audit.push(record)
    this.#indexRecord(record)
    return record
  }

  #indexRecord(record: AuditRecord): void {
    if (changesSettings(record)) this.#lastSettingsChange = record
    if (record.kind !== AuditKind.IN_FORCE) return
    const { instance, boot, version, atMs } = record
    this.#inForce.set(instance, {
      $typeName: 'cherryhitch.v1.InForceAt',
      instance,
      boot,
      version,
      atMs,
    })
  }

  #recordAnswer(answer: CommandAnswer): CommandAnswer {
    this.#recentAnswers.add(answer)
    return answer
  }

  #appliedAnswer(commandId: string): CommandAnswer {
    return this.#makeAnswer(commandId, CommandResult.APPLIED, '')
  }

  #makeAnswer(commandId: string, result: CommandResult, detail: string): CommandAnswer {
    const { version } = this.#settings
    return create(CommandAnswerSchema, { commandId, result, version, detail })
  }
}

/** Whether an audit record stands for a new version of the settings. @internal */
export function changesSettings({ kind }: AuditRecord): boolean {
  switch (kind) {
    case AuditKind.PRESET_SET:
    case AuditKind.PRESET_DEFINED:
    case AuditKind.ZONE_DRAINED:
    case AuditKind.ZONE_RESTORED:
      return true
    case AuditKind.UNSPECIFIED:
    case AuditKind.VOTERS_CHANGED:
    case AuditKind.IN_FORCE:
    case AuditKind.INITIALIZED:
    case AuditKind.ROUTING_SET:
      return false
    default:
      return exhaustive(kind)
  }
}

/** A definition in the form in which it is stored in audit records. */
function formatDefinition(definition: PresetDefinition): string {
  return JSON.stringify(toJson(PresetDefinitionSchema, definition))
}

function formatVoter({ instance, diskId, learner }: Voter): string {
  return `${diskId}@${instance}${learner ? '(learner)' : ''}`
}
