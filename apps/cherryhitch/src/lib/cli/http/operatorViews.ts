/** What the operator interface answers, as far as tables show it. */

/** @internal */
export interface ServiceRow {
  readonly service: string
  readonly endpoints: number
  readonly slots: number
  readonly freeSlots: number
  readonly queuedTasks: number
  readonly waitMs: number
  readonly ejectedEndpoints: number
}

/** @internal */
export interface InstanceRow {
  readonly instance: string
  readonly zone: string
  readonly state: string
  readonly alive: boolean
  readonly boot: number
  readonly heardMsAgo: number
  readonly roundTripMs: number
  readonly settingsVersion: number
  readonly services: readonly ServiceRow[]
}

/** @internal */
export interface EndpointRow {
  readonly endpoint: string
  readonly service: string
  readonly zone: string
  readonly rack: string
  readonly address: string
  readonly state: string
  readonly slots: number
  readonly busySlots: number
  readonly heardMsAgo: number
  readonly ejected: boolean
  readonly owner: string
}

/** @internal */
export interface JobRow {
  readonly jobId: string
  readonly state: string
  readonly outcome: string
  readonly reason: string
  readonly tasks: number
  readonly tasksEnded: number
  readonly settingsVersion: number
}

/** A preset with all members of its definition. @internal */
export interface PresetRow {
  readonly name: string
  readonly description: string
}

/** @internal */
export interface SettingsRow {
  readonly version: number
  readonly preset: string
  readonly current: boolean
  readonly presets: readonly PresetRow[]
}

/** @internal */
export interface ZonesRow {
  /** Settings version, from which an order starts. */
  readonly version: number
  readonly current: boolean
  readonly zones: readonly {
    readonly zone: string
    readonly drained: boolean
    readonly version: number
    readonly operator: string
    readonly reason: string
    readonly at: string
  }[]
}

/** @internal */
export interface AuditRow {
  readonly position: number
  readonly kind: string
  readonly operator: string
  readonly reason: string
  readonly from: string
  readonly to: string
  readonly version: number
  readonly at: string
  /** Milliseconds since the epoch. */
  readonly atMs: number
  readonly instance: string
  readonly hash: string
}

/** @internal */
export interface VotersRow {
  readonly leader: string
  readonly term: number
  readonly commitIndex: number
  readonly safeLosses: number
  readonly members: readonly {
    readonly instance: string
    readonly diskId: string
    readonly learner: boolean
    readonly matchIndex: number
    readonly silentMs: number
  }[]
}
