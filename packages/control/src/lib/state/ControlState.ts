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
  Voter,
} from '@cherryhitch/protocol'
import { AnswerMemory } from './AnswerMemory'
import { chainRecord } from './auditChain'
import type { AuditContent } from './auditChain'
import { ClaimTable } from './ClaimTable'
import { validatePreset } from './presets'
import { changeMembers } from './voterSet'

/** Version of the stored snapshot. @internal */
export const SNAPSHOT_SCHEMA_VERSION = 1

/** @public */
export interface ControlStateOptions {
  /** Claims kept at most; a further one is refused. */
  readonly claimLimit: number
  /** Milliseconds for which an ended claim is kept at least. */
  readonly claimRetentionMs: number
  /** Answers kept at most, of operators' commands and of claims each. */
  readonly answerLimit: number
}

/** Why these: `docs/design/claims.md`. @public */
export const defaultControlStateOptions: ControlStateOptions = {
  claimLimit: 100_000,
  claimRetentionMs: 6 * 3_600_000,
  answerLimit: 2_000,
}

/**
 * What the committed commands add up to. Applying is pure: voters that apply the same commands
 * hold the same state.
 *
 * @public
 */
export class ControlState {
  readonly #answers: AnswerMemory
  readonly #claims: ClaimTable
  readonly #audit: AuditRecord[]
  /** Newest record of the chain that changed the settings. */
  #lastChange: AuditRecord | undefined
  readonly #inForce = new Map<string, InForceAt>()
  #settings: SettingsState
  #voters: readonly Voter[]
  #routing: RoutingState

  constructor(snapshot: ControlSnapshot, options = defaultControlStateOptions) {
    const { claimLimit: limit, claimRetentionMs: retentionMs, answerLimit } = options
    this.#answers = new AnswerMemory(answerLimit, snapshot.recentAnswers)
    this.#claims = new ClaimTable({ limit, retentionMs }, snapshot.claims)
    this.#audit = [...snapshot.audit]
    this.#settings = snapshot.settings ?? create(SettingsStateSchema)
    this.#voters = snapshot.voters
    this.#routing = snapshot.routing ?? create(RoutingStateSchema)
    for (const record of this.#audit) this.#index(record)
  }

  get settings(): SettingsState {
    return this.#settings
  }

  /** The operator's routing; version 0 until there is one. */
  get routing(): RoutingState {
    return this.#routing
  }

  get voters(): readonly Voter[] {
    return this.#voters
  }

  /** Things held, a measure of what a snapshot costs. */
  get size(): number {
    return this.#claims.size + this.#audit.length
  }

  get claimCount(): number {
    return this.#claims.size
  }

  /** The first answer to a command, as long as it is remembered. */
  answerTo(commandId: string): CommandAnswer | undefined {
    return this.#answers.find(commandId)
  }

  /** Audit records from a position on. */
  audit(from: number, limit: number): AuditRecord[] {
    return this.#audit.slice(from, from + limit)
  }

  /** True when the record says already that the version took force there. */
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
      recentAnswers: this.#answers.list(),
      voters: [...this.#voters],
      routing: this.#routing,
    })
  }

  /** Applies a committed command and gives its answer; a repeated one changes nothing. */
  apply(command: Command): CommandAnswer {
    const { commandId, change } = command
    const first = this.#answers.find(commandId)
    if (first !== undefined) return first
    switch (change.case) {
      case 'setPreset':
        return this.#remember(this.#setPreset(commandId, change.value))
      case 'definePreset':
        return this.#remember(this.#definePreset(commandId, change.value))
      case 'changeVoters':
        return this.#remember(this.#changeVoters(commandId, change.value))
      case 'claimKeys': {
        const claims = change.value.claims.map((claim) => this.#claims.claim(claim))
        const answer = this.#applied(commandId)
        answer.claims = claims
        return claims.length === 0 ? answer : this.#remember(answer)
      }
      case 'endClaims':
        for (const end of change.value.ends) this.#claims.end(end)
        return this.#applied(commandId)
      case 'recordInForce':
        for (const inForce of change.value.instances) this.#recordInForce(commandId, inForce)
        return this.#applied(commandId)
      case 'putRouting':
        return this.#remember(this.#putRouting(commandId, change.value))
      case 'noop':
        return this.#applied(commandId)
      case undefined:
        return this.#answer(commandId, CommandResult.REJECTED, 'the command is empty')
      default:
        return exhaustive(change)
    }
  }

  #setPreset(commandId: string, change: SetPreset): CommandAnswer {
    const refusal = this.#refuse(commandId, change)
    if (refusal !== undefined) return refusal
    if (!this.#settings.definitions.some(({ name }) => name === change.name)) {
      return this.#answer(commandId, CommandResult.REJECTED, `no preset is named ${change.name}`)
    }
    const { operator, reason, atMs } = change
    const from = this.#settings.preset
    const kind = AuditKind.PRESET_SET
    const content = { kind, operator, reason, from, to: change.name, atMs, commandId }
    this.#changeSettings(content, { preset: change.name })
    return this.#applied(commandId)
  }

  #definePreset(commandId: string, change: DefinePreset): CommandAnswer {
    const refusal = this.#refuse(commandId, change)
    if (refusal !== undefined) return refusal
    const { definition, operator, reason, atMs } = change
    if (definition === undefined) {
      return this.#answer(commandId, CommandResult.REJECTED, 'the definition is missing')
    }
    const valid = validatePreset(definition)
    if (valid.err) return this.#answer(commandId, CommandResult.REJECTED, valid.val)
    const { definitions } = this.#settings
    const old = definitions.find(({ name }) => name === definition.name)
    const rest = definitions.filter((other) => other !== old)
    const from = old === undefined ? '' : describe(old)
    const kind = AuditKind.PRESET_DEFINED
    const content = { kind, operator, reason, from, to: describe(definition), atMs, commandId }
    this.#changeSettings(content, { definitions: [...rest, definition] })
    return this.#applied(commandId)
  }

  /** Operators race and resend, so a version that is overtaken is no error: it changes nothing. */
  #putRouting(commandId: string, { version, document, atMs }: PutRouting): CommandAnswer {
    const held = this.#routing.version
    if (version > held) {
      const kind = AuditKind.ROUTING_SET
      const { version: settingsVersion } = this.#settings
      const from = `routing ${held}`
      const to = `routing ${version}`
      this.#record({ kind, from, to, atMs, commandId, version: settingsVersion })
      this.#routing = create(RoutingStateSchema, { version, document })
    }
    return this.#applied(commandId)
  }

  #changeVoters(commandId: string, change: ChangeVoters): CommandAnswer {
    const changed = changeMembers(this.#voters, change)
    if (changed.err) return this.#answer(commandId, CommandResult.REJECTED, changed.val)
    const { operator, reason, atMs, instance, diskId } = change
    const to = `${VoterChangeKind[change.kind].toLowerCase()} ${diskId} on ${instance}`
    const kind = AuditKind.VOTERS_CHANGED
    const from = this.#voters.map(describeVoter).join(' ')
    const { version } = this.#settings
    this.#record({ kind, operator, reason, from, to, atMs, commandId, instance, version })
    this.#voters = changed.val
    return this.#applied(commandId)
  }

  #recordInForce(commandId: string, inForce: InForceAt): void {
    if (this.isRecordedInForce(inForce)) return
    const { instance, boot, version, atMs } = inForce
    const kind = AuditKind.IN_FORCE
    this.#record({ kind, instance, boot, version, atMs, commandId })
  }

  /** Refuses what names nobody, gives no reason, or starts from a version that is not the newest. */
  #refuse(commandId: string, change: SetPreset | DefinePreset): CommandAnswer | undefined {
    if (change.operator === '' || change.reason === '') {
      return this.#answer(commandId, CommandResult.REJECTED, 'operator and reason must be given')
    }
    if (change.fromVersion === this.#settings.version) return undefined
    return this.#answer(commandId, CommandResult.CONFLICT, this.#describeWinner(change.fromVersion))
  }

  #describeWinner(fromVersion: number): string {
    const winner = this.#lastChange
    const by = winner === undefined ? '' : `, made by ${winner.operator} (${winner.commandId})`
    const { version, preset } = this.#settings
    return `changes from version ${fromVersion}, but version ${version} is the newest${by}; preset ${preset}`
  }

  #changeSettings(
    content: AuditContent,
    change: { preset?: string; definitions?: PresetDefinition[] },
  ): void {
    const version = this.#settings.version + 1
    const { hash: auditHash } = this.#record({ ...content, version })
    const { preset, definitions } = this.#settings
    const fields = { preset, definitions, ...change, version, auditHash }
    this.#settings = create(SettingsStateSchema, fields)
  }

  #record(content: AuditContent): AuditRecord {
    const record = chainRecord(this.#audit.at(-1), content)
    this.#audit.push(record)
    this.#index(record)
    return record
  }

  #index(record: AuditRecord): void {
    if (record.kind === AuditKind.PRESET_SET || record.kind === AuditKind.PRESET_DEFINED) {
      this.#lastChange = record
    }
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

  #remember(answer: CommandAnswer): CommandAnswer {
    this.#answers.remember(answer)
    return answer
  }

  #applied(commandId: string): CommandAnswer {
    return this.#answer(commandId, CommandResult.APPLIED, '')
  }

  #answer(commandId: string, result: CommandResult, detail: string): CommandAnswer {
    const { version } = this.#settings
    return create(CommandAnswerSchema, { commandId, result, version, detail })
  }
}

/** A definition as auditors read it in the record. */
function describe(definition: PresetDefinition): string {
  return JSON.stringify(toJson(PresetDefinitionSchema, definition))
}

function describeVoter({ instance, diskId, learner }: Voter): string {
  return `${diskId}@${instance}${learner ? '(learner)' : ''}`
}
