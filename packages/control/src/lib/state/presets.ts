import { create } from '@bufbuild/protobuf'
import {
  AdmissionRule,
  HealthRule,
  PlacementRule,
  PresetDefinitionSchema,
  QueueOrder,
} from '@cherryhitch/protocol'
import type { PresetDefinition } from '@cherryhitch/protocol'
import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'
import { isValidName } from '@cherryhitch/model'

/** Names of the presets that ship with the program. @public */
export enum PresetName {
  Ordinary = 'ordinary',
  Peak = 'peak',
  Maintenance = 'maintenance',
}

const policies = {
  queueOrder: QueueOrder.DEADLINE_FAIR,
  placementRule: PlacementRule.SPREAD_FAST,
  healthRule: HealthRule.DECAYED_SCORE,
  admissionRule: AdmissionRule.PREDICTED_FINISH,
  ownerShards: 1,
}

/**
 * The presets that ship with the program; the first one is in force after the first start.
 * `docs/design/presets.md` gives the reasons for the limits.
 *
 * @public
 */
export const shippedPresets: readonly PresetDefinition[] = [
  create(PresetDefinitionSchema, {
    ...policies,
    name: PresetName.Ordinary,
    description: 'For ordinary days: every caller may use half of a queue while others wait.',
    jobsInFlightPerInstance: 2000,
    queuedTasksPerSlot: 20,
    callerQueueShare: 0.5,
    retryBudget: 0.1,
    spillMarginMs: 3,
  }),
  create(PresetDefinitionSchema, {
    ...policies,
    name: PresetName.Peak,
    description:
      'For peaks: shorter queues, smaller shares and fewer retries, so that what is accepted is answered in time.',
    jobsInFlightPerInstance: 1000,
    queuedTasksPerSlot: 8,
    callerQueueShare: 0.25,
    retryBudget: 0.05,
    spillMarginMs: 1,
  }),
  create(PresetDefinitionSchema, {
    ...policies,
    name: PresetName.Maintenance,
    description:
      'For maintenance: small limits, so that instances and workers drain quickly; the rest is refused as not run.',
    jobsInFlightPerInstance: 200,
    queuedTasksPerSlot: 2,
    callerQueueShare: 0.25,
    retryBudget: 0.05,
    spillMarginMs: 10,
  }),
]

const MAX_JOBS_IN_FLIGHT = 1_000_000
const MAX_QUEUED_PER_SLOT = 10_000
const MAX_SPILL_MARGIN_MS = 60_000
const MAX_SHARDS = 64
const MAX_DESCRIPTION_LENGTH = 500

function inRange(value: number, low: number, high: number): boolean {
  return Number.isFinite(value) && value >= low && value <= high
}

/** Validates a preset definition; only a valid one may be stored. @public */
export function validatePreset(definition: PresetDefinition): Result<void, string> {
  const checks: [boolean, string][] = [
    [isValidName(definition.name), 'name is not valid'],
    [definition.description.length > 0, 'description is missing'],
    [definition.description.length <= MAX_DESCRIPTION_LENGTH, 'description is too long'],
    [inRange(definition.jobsInFlightPerInstance, 1, MAX_JOBS_IN_FLIGHT), 'jobs in flight'],
    [inRange(definition.queuedTasksPerSlot, 1, MAX_QUEUED_PER_SLOT), 'queued tasks per slot'],
    [inRange(definition.callerQueueShare, 0.01, 1), 'caller share must be 0.01 to 1'],
    [inRange(definition.retryBudget, 0, 1), 'retry budget must be 0 to 1'],
    [inRange(definition.spillMarginMs, 0, MAX_SPILL_MARGIN_MS), 'spill margin'],
    [inRange(definition.ownerShards, 1, MAX_SHARDS), 'owner shards'],
    [definition.queueOrder !== QueueOrder.UNSPECIFIED, 'queue order is missing'],
    [definition.placementRule !== PlacementRule.UNSPECIFIED, 'placement rule is missing'],
    [definition.healthRule !== HealthRule.UNSPECIFIED, 'health rule is missing'],
    [definition.admissionRule !== AdmissionRule.UNSPECIFIED, 'admission rule is missing'],
  ]
  const failed = checks.find(([isValid]) => !isValid)
  return failed === undefined ? Ok.EMPTY : Err(`preset ${definition.name}: ${failed[1]}`)
}
