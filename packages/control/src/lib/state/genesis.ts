import { create } from '@bufbuild/protobuf'
import { AuditKind, ControlSnapshotSchema, VoterSchema } from '@cherryhitch/protocol'
import type { ControlSnapshot, Voter } from '@cherryhitch/protocol'
import { chainRecord } from './auditChain'
import { SNAPSHOT_SCHEMA_VERSION } from './ControlState'
import { PresetName, shippedPresets } from './presets'

/** Settings version of the initial state. */
const FIRST_VERSION = 1

/** Disk id of an initial voter; each voter derives it without communication. @public */
export function initialDiskId(instance: string, clusterId: string): string {
  return `${instance}-${clusterId}`
}

/** The initial voters, in the same order on every instance. @internal */
export function initialVoters(clusterId: string, instances: readonly string[]): Voter[] {
  return [...new Set(instances)].sort().map((instance) => {
    const diskId = initialDiskId(instance, clusterId)
    return create(VoterSchema, { instance, diskId, learner: false })
  })
}

/** The state before the first log entry; it depends only on the arguments. @internal */
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
