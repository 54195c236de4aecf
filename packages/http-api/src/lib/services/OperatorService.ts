import type { InstanceView } from '@cherryhitch/model'
import type {
  AuditRecord,
  Command,
  CommandAnswer,
  EndpointAnnouncement,
  JobAnswer,
  SettingsState,
  VotersStatus,
} from '@cherryhitch/protocol'
import type { Effect } from 'effect'

/** Status of an endpoint as shown to operators. @public */
export interface EndpointStatus {
  readonly announcement: EndpointAnnouncement
  readonly owner: string
  readonly busySlots: number
  readonly heardMsAgo: number
  readonly ejected: boolean
}

/** Settings of this instance as shown to operators. @public */
export interface SettingsStatus {
  readonly settings: SettingsState
  /** False while the quorum is unreachable; the settings are then the newest known here. */
  readonly current: boolean
}

/** A page of the audit record. @public */
export interface AuditPage {
  readonly records: readonly AuditRecord[]
  /** False when the page could not be read through the quorum. */
  readonly current: boolean
}

/** Operations of the instance behind the operator API. @public */
export abstract class OperatorService {
  abstract instances(): Effect.Effect<readonly InstanceView[]>
  /** Endpoints that this instance owns. */
  abstract endpoints(): Effect.Effect<readonly EndpointStatus[]>
  /** Unfinished jobs that this instance coordinates, and the most recently ended ones. */
  abstract jobs(): Effect.Effect<readonly JobAnswer[]>
  abstract settings(): Effect.Effect<SettingsStatus>
  /** Commits a change through the log; safe to repeat with the same command id. */
  abstract propose(command: Command): Effect.Effect<CommandAnswer>
  abstract audit(from: number, limit: number): Effect.Effect<AuditPage>
  abstract voters(): Effect.Effect<VotersStatus | undefined>
}
