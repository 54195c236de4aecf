import {
  AdmissionRule,
  HealthRule,
  PlacementRule,
  QueueOrder,
  VoterChangeKind,
} from '@cherryhitch/protocol'
import { Schema } from 'effect'
import { countSchema, nameSchema, sentenceSchema, tokenSchema } from '../exchange/schemas'

const MAX_UINT32 = 0xffffffff
const MAX_SPILL_MARGIN_MS = 60_000
const MAX_OWNER_SHARDS = 64

/** Names of the queue orders in request bodies. @internal */
export const queueOrders = {
  fifo: QueueOrder.FIFO,
  deadline_fair: QueueOrder.DEADLINE_FAIR,
} as const

/** Names of the placement rules in request bodies. @internal */
export const placementRules = {
  random: PlacementRule.RANDOM,
  spread_fast: PlacementRule.SPREAD_FAST,
} as const

/** Names of the health rules in request bodies. @internal */
export const healthRules = {
  none: HealthRule.NONE,
  consecutive: HealthRule.CONSECUTIVE,
  decayed_score: HealthRule.DECAYED_SCORE,
} as const

/** Names of the admission rules in request bodies. @internal */
export const admissionRules = {
  queue_limit: AdmissionRule.QUEUE_LIMIT,
  predicted_finish: AdmissionRule.PREDICTED_FINISH,
} as const

/** Names of the voter changes in request bodies. @internal */
export const voterChanges = {
  add_learner: VoterChangeKind.ADD_LEARNER,
  promote: VoterChangeKind.PROMOTE,
  remove: VoterChangeKind.REMOVE,
} as const

const positive = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: MAX_UINT32 }))
const share = Schema.Number.check(Schema.isBetween({ minimum: 0, maximum: 1 }))

/** Schema of the body of `PUT /v1/preset`. @internal */
export const setPresetSchema = Schema.Struct({
  name: nameSchema,
  fromVersion: countSchema,
  reason: sentenceSchema,
  commandId: tokenSchema,
})

/** Schema of the body of `PUT /v1/presets/{name}`. @internal */
export const definePresetSchema = Schema.Struct({
  fromVersion: countSchema,
  reason: sentenceSchema,
  commandId: tokenSchema,
  definition: Schema.Struct({
    description: sentenceSchema,
    jobsInFlightPerInstance: positive,
    queuedTasksPerSlot: positive,
    callerQueueShare: share,
    retryBudget: share,
    spillMarginMs: Schema.Number.check(
      Schema.isBetween({ minimum: 0, maximum: MAX_SPILL_MARGIN_MS }),
    ),
    queueOrder: Schema.Literals(['fifo', 'deadline_fair']),
    placementRule: Schema.Literals(['random', 'spread_fast']),
    healthRule: Schema.Literals(['none', 'consecutive', 'decayed_score']),
    admissionRule: Schema.Literals(['queue_limit', 'predicted_finish']),
    ownerShards: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: MAX_OWNER_SHARDS })),
  }),
})

/** Schema of the body of `PUT /v1/zones/{zone}`. @internal */
export const setZoneDrainSchema = Schema.Struct({
  drained: Schema.Boolean,
  fromVersion: countSchema,
  reason: sentenceSchema,
  commandId: tokenSchema,
})

/** Schema of the body of `POST /v1/voters`. @internal */
export const changeVotersSchema = Schema.Struct({
  kind: Schema.Literals(['add_learner', 'promote', 'remove']),
  instance: nameSchema,
  diskId: tokenSchema,
  reason: sentenceSchema,
  commandId: tokenSchema,
})
