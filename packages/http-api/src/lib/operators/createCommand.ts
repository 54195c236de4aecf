import { create } from '@bufbuild/protobuf'
import type { Command } from '@cherryhitch/protocol'
import {
  ChangeVotersSchema,
  CommandSchema,
  DefinePresetSchema,
  PresetDefinitionSchema,
  SetPresetSchema,
} from '@cherryhitch/protocol'
import type { changeVotersSchema, definePresetSchema, setPresetSchema } from './changeBodies'
import {
  admissionRules,
  healthRules,
  placementRules,
  queueOrders,
  voterChanges,
} from './changeBodies'

/** Who proposes a change, and when; the record keeps both. @internal */
export interface Proposer {
  readonly operator: string
  /** Milliseconds since the epoch, for readers of the record only. */
  readonly now: number
}

type SetPresetBody = (typeof setPresetSchema)['Type']
type DefinePresetBody = (typeof definePresetSchema)['Type']
type ChangeVotersBody = (typeof changeVotersSchema)['Type']

/** Makes the command that puts a preset in force. @internal */
export function createSetPreset(body: SetPresetBody, { operator, now }: Proposer): Command {
  const { commandId, name, fromVersion, reason } = body
  const value = create(SetPresetSchema, { name, fromVersion, operator, reason, atMs: now })
  return create(CommandSchema, { commandId, change: { case: 'setPreset', value } })
}

/** Makes the command that defines a preset, without putting it in force. @internal */
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

/** Makes the command that changes the set of voters. @internal */
export function createChangeVoters(body: ChangeVotersBody, { operator, now }: Proposer): Command {
  const { commandId, instance, diskId, reason } = body
  const kind = voterChanges[body.kind]
  const value = create(ChangeVotersSchema, { kind, instance, diskId, operator, reason, atMs: now })
  return create(CommandSchema, { commandId, change: { case: 'changeVoters', value } })
}
