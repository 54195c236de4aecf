import { create } from '@bufbuild/protobuf'
import type { Command } from '@cherryhitch/protocol'
import {
  ChangeVotersSchema,
  CommandSchema,
  DefinePresetSchema,
  PresetDefinitionSchema,
  SetPresetSchema,
  SetZoneDrainSchema,
} from '@cherryhitch/protocol'
import type {
  changeVotersSchema,
  definePresetSchema,
  setPresetSchema,
  setZoneDrainSchema,
} from './changeBodies'
import {
  admissionRules,
  healthRules,
  placementRules,
  queueOrders,
  voterChanges,
} from './changeBodies'

/** Who proposes a change, and when; both are kept in the audit record. @internal */
export interface Proposer {
  readonly operator: string
  /** Milliseconds since the epoch, only informative in the audit record. */
  readonly now: number
}

type SetPresetBody = (typeof setPresetSchema)['Type']
type DefinePresetBody = (typeof definePresetSchema)['Type']
type ChangeVotersBody = (typeof changeVotersSchema)['Type']
type SetZoneDrainBody = (typeof setZoneDrainSchema)['Type']

/** Creates the command that activates a preset. @internal */
export function createSetPreset(body: SetPresetBody, { operator, now }: Proposer): Command {
  const { commandId, name, fromVersion, reason } = body
  const value = create(SetPresetSchema, { name, fromVersion, operator, reason, atMs: now })
  return create(CommandSchema, { commandId, change: { case: 'setPreset', value } })
}

/** Creates the command that defines a preset without activating it. @internal */
export function createDefinePreset(
  name: string,
  body: DefinePresetBody,
  { operator, now }: Proposer,
): Command {
  const { commandId, fromVersion, reason } = body
  const definition = create(PresetDefinitionSchema, {
    ...body.definition,
    name,
    queueOrder: queueOrders[body.definition.queueOrder],
    placementRule: placementRules[body.definition.placementRule],
    healthRule: healthRules[body.definition.healthRule],
    admissionRule: admissionRules[body.definition.admissionRule],
  })
  const value = create(DefinePresetSchema, {
    definition,
    fromVersion,
    operator,
    reason,
    atMs: now,
  })
  return create(CommandSchema, { commandId, change: { case: 'definePreset', value } })
}

/** Creates the command that drains an availability zone, or restores it. @internal */
export function createSetZoneDrain(
  zone: string,
  body: SetZoneDrainBody,
  { operator, now }: Proposer,
): Command {
  const { commandId, drained, fromVersion, reason } = body
  const fields = { zone, drained, fromVersion, operator, reason, atMs: now }
  const value = create(SetZoneDrainSchema, fields)
  return create(CommandSchema, { commandId, change: { case: 'setZoneDrain', value } })
}

/** Creates the command that changes the set of voters. @internal */
export function createChangeVoters(body: ChangeVotersBody, { operator, now }: Proposer): Command {
  const { commandId, instance, diskId, reason } = body
  const kind = voterChanges[body.kind]
  const value = create(ChangeVotersSchema, { kind, instance, diskId, operator, reason, atMs: now })
  return create(CommandSchema, { commandId, change: { case: 'changeVoters', value } })
}
