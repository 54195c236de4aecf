/**
 * The replicated log of the control plane: presets, audit log, claims and the set of voters.
 *
 * @packageDocumentation
 */
export { ControlError, ControlErrorKind } from './lib/errors/ControlError'
export { defaultClientTiming } from './lib/node/ClientOptions'
export type { ClientTiming } from './lib/node/ClientOptions'
export { ControlNode } from './lib/node/ControlNode'
export type { KnownSettings } from './lib/node/ControlNode'
export type { CommittedState, ControlNodeOptions } from './lib/node/ControlNodeOptions'
export { handOverVoter } from './lib/node/handOverVoter'
export type { HandOverVoterOptions } from './lib/node/handOverVoter'
export { startControlNode } from './lib/node/startControlNode'
export { runControlSoak } from './lib/soak/runControlSoak'
export type { ControlSoakOptions, ControlSoakReport } from './lib/soak/runControlSoak'
export { FIRST_PREVIOUS_HASH, hashAuditRecord, verifyAudit } from './lib/state/auditChain'
export type { AuditFault } from './lib/state/auditChain'
export { ControlState, defaultControlStateOptions } from './lib/state/ControlState'
export type { ControlStateOptions } from './lib/state/ControlState'
export { initialDiskId } from './lib/state/genesis'
export { presetInForceAt } from './lib/state/presetInForceAt'
export type { PresetInForce } from './lib/state/presetInForceAt'
export { PresetName, shippedPresets, validatePreset } from './lib/state/presets'
export { drainedZonesOf } from './lib/state/zoneDrains'
export { initVoters } from './lib/store/initVoters'
export type { InitVotersOptions } from './lib/store/initVoters'
export { ControlActionKind, VoterRole } from './lib/voter/ControlAction'
export type { ControlAction, PersistBatch, SendAction } from './lib/voter/ControlAction'
export { ControlEventKind } from './lib/voter/ControlEvent'
export type { ControlEvent } from './lib/voter/ControlEvent'
export { EVERY_INSTANCE } from './lib/voter/SettingsRollout'
export { VoterMachine } from './lib/voter/VoterMachine'
export { defaultVoterLimits, defaultVoterTiming } from './lib/voter/VoterOptions'
export type {
  StoredVoter,
  VoterLimits,
  VoterMachineOptions,
  VoterTiming,
} from './lib/voter/VoterOptions'
