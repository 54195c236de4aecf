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

/** What an operator sees of an endpoint. @public */
export interface EndpointStatus {
  readonly announcement: EndpointAnnouncement
  readonly owner: string
  readonly busySlots: number
  readonly heardMsAgo: number
  readonly ejected: boolean
}

/** What an operator sees of the settings here. @public */
export interface SettingsStatus {
  readonly settings: SettingsState
  /** False while the quorum can't be reached: the settings are the newest known here. */
  readonly current: boolean
}

/** A page of the audit record. @public */
export interface AuditPage {
  readonly records: readonly AuditRecord[]
  /** False when the page could not be read through the quorum. */
  readonly current: boolean
}

/** What the operator interface needs of the instance. @public */
export abstract class OperatorService {
  abstract instances(): Effect.Effect<readonly InstanceView[]>
  /** Endpoints that this instance owns. */
  abstract endpoints(): Effect.Effect<readonly EndpointStatus[]>
  /** Jobs that this instance coordinates and that have not ended, and the latest that have. */
  abstract jobs(): Effect.Effect<readonly JobAnswer[]>
  abstract settings(): Effect.Effect<SettingsStatus>
  /** Commits a change through the log; safe to repeat with the same command id. */
  abstract propose(command: Command): Effect.Effect<CommandAnswer>
  abstract audit(from: number, limit: number): Effect.Effect<AuditPage>
  abstract voters(): Effect.Effect<VotersStatus | undefined>
}
