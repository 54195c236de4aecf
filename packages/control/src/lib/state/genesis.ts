import { create } from '@bufbuild/protobuf'
import { AuditKind, ControlSnapshotSchema, VoterSchema } from '@cherryhitch/protocol'
import type { ControlSnapshot, Voter } from '@cherryhitch/protocol'
import { chainRecord } from './auditChain'
import { SNAPSHOT_SCHEMA_VERSION } from './ControlState'
import { PresetName, shippedPresets } from './presets'

/** Version of the settings after the first start. */
const FIRST_VERSION = 1

/** Disk identity of a voter of the first set; all of them derive it without talking. @public */
export function initialDiskId(instance: string, clusterId: string): string {
  return `${instance}-${clusterId}`
}

/** The voters of the first start, in an order that all agree on. @internal */
export function initialVoters(clusterId: string, instances: readonly string[]): Voter[] {
  return [...new Set(instances)].sort().map((instance) => {
    const diskId = initialDiskId(instance, clusterId)
    return create(VoterSchema, { instance, diskId, learner: false })
  })
}

/** The state before the first entry; it depends on nothing but the arguments. @internal */
export function genesisSnapshot(clusterId: string, instances: readonly string[]): ControlSnapshot {
  const voters = initialVoters(clusterId, instances)
  const first = chainRecord(undefined, {
    kind: AuditKind.INITIALIZED,
    operator: 'control init',
    reason: `first start of ${clusterId} with ${voters.map(({ diskId }) => diskId).join(' ')}`,
    to: PresetName.Ordinary,
    version: FIRST_VERSION,
  })
  return create(ControlSnapshotSchema, {
    schemaVersion: SNAPSHOT_SCHEMA_VERSION,
    settings: {
      version: FIRST_VERSION,
      preset: PresetName.Ordinary,
      definitions: [...shippedPresets],
      auditHash: first.hash,
    },
    audit: [first],
    voters,
  })
}
