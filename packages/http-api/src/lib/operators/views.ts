import type { Message } from '@bufbuild/protobuf'
import type { InstanceView } from '@cherryhitch/model'
import type {
  AuditRecord,
  JobAnswer,
  PresetDefinition,
  Resources,
  ServiceSummary,
  VotersStatus,
} from '@cherryhitch/protocol'
import {
  AdmissionRule,
  AuditKind,
  EndpointState,
  HealthRule,
  InstanceState,
  JobState,
  Outcome,
  PlacementRule,
  QueueOrder,
  Reason,
} from '@cherryhitch/protocol'
import type { AuditPage, EndpointStatus, SettingsStatus } from '../services/OperatorService'

/**
 * Converts messages to plain objects for operators, with enum values as lower-case names and
 * without protobuf metadata.
 */

/** Copies a message without its `$typeName`. */
function withoutTypeName<T extends Message>(message: T): Omit<T, '$typeName'> {
  const copy: Omit<T, '$typeName'> = { ...message }
  Reflect.deleteProperty(copy, '$typeName')
  return copy
}

/** @internal */
export function viewInstance(instance: InstanceView, now: number) {
  const { heardAt, services, state, ...rest } = instance
  return {
    ...rest,
    state: InstanceState[state].toLowerCase(),
    heardMsAgo: Math.max(0, Math.round(now - heardAt)),
    services: services.map(viewService),
  }
}

function viewService(summary: ServiceSummary) {
  return { ...withoutTypeName(summary), largest: viewResources(summary.largest) }
}

function viewResources(resources: Resources | undefined) {
  const { cores = 0, memoryMb = 0, accelerators = 0 } = resources ?? {}
  return { cores, memoryMb, accelerators }
}

/** @internal */
export function viewEndpoint({ announcement, ...status }: EndpointStatus) {
  const { state, capacity, usage } = announcement
  return {
    ...withoutTypeName(announcement),
    state: EndpointState[state].toLowerCase(),
    capacity: viewResources(capacity),
    usage: viewResources(usage),
    ...status,
  }
}

/** A job without its outputs, which are private to the caller. @internal */
export function viewJob(answer: JobAnswer) {
  const { jobId, state, outcome, reason, detail, tasks, tasksEnded } = answer
  const { settingsVersion, settingsCurrent } = answer
  return {
    jobId,
    detail,
    tasks,
    tasksEnded,
    settingsVersion,
    settingsCurrent,
    state: JobState[state].toLowerCase(),
    outcome: Outcome[outcome].toLowerCase(),
    reason: Reason[reason].toLowerCase(),
  }
}

/** @internal */
export function viewSettings({ settings, current }: SettingsStatus) {
  const { version, preset, auditHash } = settings
  return { version, preset, auditHash, current, presets: settings.definitions.map(viewPreset) }
}

function viewPreset(definition: PresetDefinition) {
  return {
    ...withoutTypeName(definition),
    queueOrder: QueueOrder[definition.queueOrder].toLowerCase(),
    placementRule: PlacementRule[definition.placementRule].toLowerCase(),
    healthRule: HealthRule[definition.healthRule].toLowerCase(),
    admissionRule: AdmissionRule[definition.admissionRule].toLowerCase(),
  }
}

/** @internal */
export function viewZones({ settings, current }: SettingsStatus) {
  const zones = settings.zoneDrains.map((drain) => {
    return { ...withoutTypeName(drain), at: new Date(drain.atMs).toISOString() }
  })
  return { version: settings.version, current, zones }
}

/** @internal */
export function viewAudit({ records, current }: AuditPage) {
  return { current, records: records.map(viewAuditRecord) }
}

/** Adds the time in ISO 8601 for human readers. */
function viewAuditRecord(record: AuditRecord) {
  const kind = AuditKind[record.kind].toLowerCase()
  return { ...withoutTypeName(record), kind, at: new Date(record.atMs).toISOString() }
}

/** @internal */
export function viewVoters(status: VotersStatus) {
  return {
    ...withoutTypeName(status),
    members: status.members.map((member) => withoutTypeName(member)),
  }
}
