/**
 * Scheduling policies: admission, queue order, routing, placement, run time estimates, endpoint
 * health, crash attribution and retries. They are pure functions or small stateful classes that do
 * no I/O and take the current time as an argument.
 *
 * @packageDocumentation
 */
export { ownershipShard, pickOwner } from './lib/ownership/pickOwner'
export type { OwnershipSubject } from './lib/ownership/pickOwner'
export { Admission } from './lib/admission/Admission'
export type { AdmissionDecision, AdmissionRequest } from './lib/admission/Admission'
export { createAdmission } from './lib/admission/createAdmission'
export {
  defaultPredictedFinishAdmissionOptions,
  PredictedFinishAdmission,
} from './lib/admission/PredictedFinishAdmission'
export type { PredictedFinishAdmissionOptions } from './lib/admission/PredictedFinishAdmission'
export { QueueLimitAdmission } from './lib/admission/QueueLimitAdmission'
export { CrashAttribution, CrashSuspicion } from './lib/crashes/CrashAttribution'
export type { EndpointLoss } from './lib/crashes/CrashAttribution'
export {
  CountedCrashAttribution,
  defaultCountedCrashAttributionOptions,
} from './lib/crashes/CountedCrashAttribution'
export type { CountedCrashAttributionOptions } from './lib/crashes/CountedCrashAttribution'
export { NoCrashAttribution } from './lib/crashes/NoCrashAttribution'
export { createRunTimeEstimator } from './lib/estimates/createRunTimeEstimator'
export { DeclaredEstimator } from './lib/estimates/DeclaredEstimator'
export { defaultLearnedEstimatorOptions, LearnedEstimator } from './lib/estimates/LearnedEstimator'
export type { LearnedEstimatorOptions } from './lib/estimates/LearnedEstimator'
export { RunTimeEstimator } from './lib/estimates/RunTimeEstimator'
export type { EstimateSubject } from './lib/estimates/RunTimeEstimator'
export type { ModelSample, RunTimeSample } from './lib/estimates/RunTimeSample'
export { AlwaysHealthy } from './lib/health/AlwaysHealthy'
export {
  ConsecutiveFailureHealth,
  defaultConsecutiveFailureOptions,
} from './lib/health/ConsecutiveFailureHealth'
export { DecayedScoreHealth, defaultDecayedScoreOptions } from './lib/health/DecayedScoreHealth'
export type { DecayedScoreOptions } from './lib/health/DecayedScoreHealth'
export { EjectingHealth } from './lib/health/EjectingHealth'
export type { EjectingHealthOptions } from './lib/health/EjectingHealth'
export { createEndpointHealth } from './lib/health/createEndpointHealth'
export { EndpointHealth, HealthFailure, HealthState } from './lib/health/EndpointHealth'
export type { HealthObservation } from './lib/health/EndpointHealth'
export { DecayedSum } from './lib/util/DecayedSum'
export { maxMinShares } from './lib/shares/maxMinShares'
export type { ShareClaim } from './lib/shares/maxMinShares'
export { createTaskQueue } from './lib/order/createTaskQueue'
export { DeadlineFairQueue, defaultDeadlineFairQueueOptions } from './lib/order/DeadlineFairQueue'
export type { DeadlineFairQueueOptions } from './lib/order/DeadlineFairQueue'
export { LeastWorkQueue } from './lib/order/LeastWorkQueue'
export { FifoQueue } from './lib/order/FifoQueue'
export { TaskQueue } from './lib/order/TaskQueue'
export type { QueuedTask } from './lib/order/TaskQueue'
export { createEndpointPicker } from './lib/placement/createEndpointPicker'
export { EndpointPicker } from './lib/placement/EndpointPicker'
export type { PlacementCandidate, PlacementOutlook } from './lib/placement/EndpointPicker'
export { EndpointSpeeds, EVEN_SPREAD } from './lib/placement/EndpointSpeeds'
export type {
  EndpointSpeedSample,
  EndpointTraits,
  RunObservation,
  SpeedSpread,
} from './lib/placement/EndpointSpeeds'
export { defaultPooledSpeedsOptions, PooledSpeeds } from './lib/placement/PooledSpeeds'
export type { PooledSpeedsOptions } from './lib/placement/PooledSpeeds'
export { RandomPicker } from './lib/placement/RandomPicker'
export { defaultSlownessTrackerOptions, SlownessTracker } from './lib/placement/SlownessTracker'
export type { SlownessTrackerOptions } from './lib/placement/SlownessTracker'
export { defaultSpreadFastPickerOptions, SpreadFastPicker } from './lib/placement/SpreadFastPicker'
export type { SpreadFastPickerOptions } from './lib/placement/SpreadFastPicker'
export { createRetryBudget } from './lib/retries/createRetryBudget'
export { FixedRetries } from './lib/retries/FixedRetries'
export { RetryBudget } from './lib/retries/RetryBudget'
export { defaultShareRetryBudgetOptions, ShareRetryBudget } from './lib/retries/ShareRetryBudget'
export type { ShareRetryBudgetOptions } from './lib/retries/ShareRetryBudget'
export { createOwnerRouter } from './lib/routing/createOwnerRouter'
export { OwnerRouter } from './lib/routing/OwnerRouter'
export type { OwnerOffer, RouteAssignment, RoutedTask } from './lib/routing/OwnerRouter'
export { OwnZoneRouter } from './lib/routing/OwnZoneRouter'
export {
  defaultMeasuredWaitRouterOptions,
  MeasuredWaitRouter,
} from './lib/routing/MeasuredWaitRouter'
export type { MeasuredWaitRouterOptions } from './lib/routing/MeasuredWaitRouter'
