import { exhaustive } from '@cherryhitch/model'
import type { RoutingState, SettingsState } from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
import { ControlActionKind } from './ControlAction'
import type { ControlAction } from './ControlAction'
import type { ControlEvent } from './ControlEvent'
import { ReopenSchedule } from './ReopenSchedule'
import { VoterMachine } from './VoterMachine'
import { defaultVoterTiming } from './VoterOptions'
import type { StoredVoter, VoterMachineOptions } from './VoterOptions'

/** Kinds of reports about an attempt to open the disk. @internal */
export enum DiskEventKind {
  Opened = 'disk_opened',
  OpenFailed = 'disk_open_failed',
}

/** @internal */
export enum DiskActionKind {
  Open = 'open_disk',
}

/** @internal */
export type DiskEvent =
  /** The disk was read, and all that was read is synced. */
  | { readonly kind: DiskEventKind.Opened; readonly stored: StoredVoter }
  | { readonly kind: DiskEventKind.OpenFailed; readonly reason: string }

/** @internal */
export type RecoverableVoterEvent = ControlEvent | DiskEvent

/** @internal */
export type RecoverableVoterAction =
  | ControlAction
  /** Opens the disk; answered by one {@link DiskEvent}. No write is under way. */
  | { readonly kind: DiskActionKind.Open }

/** Values for metrics. @internal */
export interface DiskCounters {
  /** 1 while the disk is open and no write has failed, otherwise 0. */
  disk_open: number
  disk_failures: number
  disk_open_failures: number
  disk_openings: number
}

/**
 * A voter that survives failures of its disk: after a failed write, or while the disk cannot be
 * opened at the start, it attempts to open the disk until that succeeds. The state of the voter is
 * then read back into a new {@link VoterMachine}, since what the disk holds is otherwise unknown.
 *
 * @internal
 */
export class RecoverableVoter extends StateMachine<RecoverableVoterEvent, RecoverableVoterAction> {
  readonly #options: VoterMachineOptions
  readonly #schedule: ReopenSchedule
  readonly #counters = { disk_failures: 0, disk_open_failures: 0, disk_openings: 0 }
  #machine: VoterMachine | undefined
  #isDiskLost = false
  #lastFailure = ''
  #settings: SettingsState | undefined
  #routing: RoutingState | undefined

  /** @param stored - undefined if the disk could not be opened yet; `OpenFailed` has to follow */
  constructor(options: VoterMachineOptions, stored: StoredVoter | undefined) {
    super()
    this.#options = options
    this.#schedule = new ReopenSchedule({ ...defaultVoterTiming, ...options.timing })
    if (stored === undefined) return
    this.#machine = new VoterMachine(options, stored)
    this.#settings = this.#machine.settings
    this.#routing = this.#machine.routing
  }

  /**
   * The voter as the disk was last opened; undefined before that. While the disk has failed, it
   * neither votes nor acknowledges nor leads.
   */
  get machine(): VoterMachine | undefined {
    return this.#machine
  }

  /** The newest settings that a voter of this process knew to be committed. */
  get settings(): SettingsState | undefined {
    return this.#settings
  }

  /** The routing of the highest version that a voter of this process knew to be committed. */
  get routing(): RoutingState | undefined {
    return this.#routing
  }

  get counters(): DiskCounters {
    return { disk_open: Number(this.#machine?.isHealthy ?? false), ...this.#counters }
  }

  override step(now: number, event: RecoverableVoterEvent): readonly RecoverableVoterAction[] {
    return this.stepAll(now, [event])
  }

  override stepAll(
    now: number,
    events: readonly RecoverableVoterEvent[],
  ): readonly RecoverableVoterAction[] {
    const actions = events.filter(isDiskEvent).flatMap((event) => this.#onDiskEvent(now, event))
    const forMachine = events.filter(isControlEvent)
    const machine = this.#machine
    if (machine === undefined || forMachine.length === 0) return actions
    actions.push(...this.#withoutOldVersions(machine.stepAll(now, forMachine)))
    if (!machine.isHealthy && !this.#isDiskLost) this.#onDiskLost(now)
    return actions
  }

  override tick(now: number): readonly RecoverableVoterAction[] {
    const actions: RecoverableVoterAction[] = []
    if (this.#machine !== undefined) {
      actions.push(...this.#withoutOldVersions(this.#machine.tick(now)))
    }
    if (this.#schedule.takeDue(now)) actions.push({ kind: DiskActionKind.Open })
    return actions
  }

  #onDiskLost(now: number): void {
    this.#isDiskLost = true
    this.#counters.disk_failures++
    this.#lastFailure = ''
    this.#schedule.onFailure(now)
  }

  #onDiskEvent(now: number, event: DiskEvent): readonly RecoverableVoterAction[] {
    switch (event.kind) {
      case DiskEventKind.Opened:
        return this.#onOpened(event.stored)
      case DiskEventKind.OpenFailed:
        return this.#onOpenFailed(now, event.reason)
      default:
        return exhaustive(event)
    }
  }

  #onOpened(stored: StoredVoter): readonly RecoverableVoterAction[] {
    this.#isDiskLost = false
    this.#counters.disk_openings++
    this.#schedule.onOpened()
    const lastFollowedAt = this.#machine?.lastFollowedAt
    this.#machine = new VoterMachine({ ...this.#options, lastFollowedAt }, stored)
    const { diskId, term, entries } = stored
    const line = `disk ${diskId} is open again, with term ${term} and ${entries.length} entries`
    return [{ kind: ControlActionKind.Log, line }, ...this.#committedAtOpening(this.#machine)]
  }

  /** Logs each reason once, as attempts go on until one succeeds. */
  #onOpenFailed(now: number, reason: string): readonly RecoverableVoterAction[] {
    this.#counters.disk_open_failures++
    this.#schedule.onFailure(now)
    if (reason === this.#lastFailure) return []
    this.#lastFailure = reason
    const line = `the disk cannot be opened, which is tried again: ${reason}`
    return [{ kind: ControlActionKind.Log, line }]
  }

  /** The committed state that the disk holds, where it is news to this process. */
  #committedAtOpening({ settings, routing }: VoterMachine): readonly RecoverableVoterAction[] {
    const actions: ControlAction[] = []
    if (settings !== undefined) actions.push({ kind: ControlActionKind.SettingsChanged, settings })
    if (routing !== undefined) actions.push({ kind: ControlActionKind.RoutingChanged, routing })
    return this.#withoutOldVersions(actions)
  }

  /**
   * Drops changes to versions that are not newer than those known here: a voter that was read back
   * begins at its snapshot and passes through them again.
   */
  #withoutOldVersions(actions: readonly ControlAction[]): readonly ControlAction[] {
    return actions.filter((action) => {
      switch (action.kind) {
        case ControlActionKind.SettingsChanged:
          if (action.settings.version <= (this.#settings?.version ?? 0)) return false
          this.#settings = action.settings
          return true
        case ControlActionKind.RoutingChanged:
          if (action.routing.version <= (this.#routing?.version ?? 0)) return false
          this.#routing = action.routing
          return true
        default:
          return true
      }
    })
  }
}

function isDiskEvent(event: RecoverableVoterEvent): event is DiskEvent {
  return event.kind === DiskEventKind.Opened || event.kind === DiskEventKind.OpenFailed
}

function isControlEvent(event: RecoverableVoterEvent): event is ControlEvent {
  return !isDiskEvent(event)
}
