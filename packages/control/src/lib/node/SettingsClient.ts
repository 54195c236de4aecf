import { envelope } from '@cherryhitch/protocol'
import type { ReadControlReply, SettingsState, VotersStatus } from '@cherryhitch/protocol'
import { ClientActionKind } from './ClientEvent'
import type { ClientAction } from './ClientEvent'
import type { ClientOptions } from './ClientOptions'
import type { LeaderFinder } from './LeaderFinder'

/**
 * Holds the newest settings that this instance knows, and the lease during which it may treat them
 * as current. It never goes back to an older version.
 *
 * @internal
 */
export class SettingsClient {
  readonly #options: ClientOptions
  readonly #finder: LeaderFinder
  #settings: SettingsState | undefined
  #appliedAt = 0
  /** Version that was last passed on to be stored; its write may still be in progress. */
  #versionToStore = 0
  #leaseEndsAt = -Infinity
  #reportedCurrent = false
  #voters: VotersStatus | undefined
  #pollCount = 0
  #poll: { readonly requestId: string; readonly to: string; readonly sentAt: number } | undefined
  #pollDueAt = -Infinity

  constructor(options: ClientOptions, finder: LeaderFinder) {
    this.#options = options
    this.#finder = finder
  }

  get settings(): SettingsState | undefined {
    return this.#settings
  }

  /** Status of the voters in the leader's last reply. */
  get voters(): VotersStatus | undefined {
    return this.#voters
  }

  isCurrent(now: number): boolean {
    return this.#settings !== undefined && now < this.#leaseEndsAt
  }

  /** Adopts committed settings if they are newer; with a disk, they are stored first. */
  adopt(now: number, settings: SettingsState | undefined): ClientAction[] {
    const known = Math.max(this.#settings?.version ?? 0, this.#versionToStore)
    if (settings === undefined || settings.version <= known) return []
    if (!this.#options.storesSettings) return this.onStored(now, settings)
    this.#versionToStore = settings.version
    return [{ kind: ClientActionKind.StoreSettings, settings }]
  }

  /** Puts the settings into effect and confirms this to the leader, with the time. */
  onStored(now: number, settings: SettingsState): ClientAction[] {
    if (settings.version <= (this.#settings?.version ?? 0)) return []
    this.#settings = settings
    this.#appliedAt = now
    const { leader } = this.#finder
    return [this.#reportSettings(now), ...(leader === '' ? [] : this.#sendConfirmation(leader))]
  }

  /** Handles the leader's notice of a version, which asks for confirmation that it took effect. */
  onNotice(now: number, from: string, settings: SettingsState | undefined): ClientAction[] {
    const adopted = this.adopt(now, settings)
    const known = this.#settings?.version === settings?.version
    return adopted.length === 0 && known ? this.#sendConfirmation(from) : adopted
  }

  onReadReply(now: number, reply: ReadControlReply): ClientAction[] {
    if (reply.requestId !== this.#poll?.requestId) return []
    const { sentAt } = this.#poll
    this.#poll = undefined
    const { timing } = this.#options
    if (!reply.ok) {
      this.#pollDueAt = now + timing.retryMs
      return this.adopt(now, reply.settings)
    }
    this.#voters = reply.voters
    this.#pollDueAt = now + timing.pollMs
    const adopted = this.adopt(now, reply.settings)
    // The lease starts when the read was sent, so it ends no later than the leader assumes.
    if ((reply.settings?.version ?? 0) <= (this.#settings?.version ?? 0)) {
      this.#leaseEndsAt = sentAt + timing.settingsLeaseMs
    }
    return [...adopted, ...this.#reportLeaseChange(now)]
  }

  /** Requests the settings from a peer at once if the peer has a newer version. */
  onPeerSeen(now: number, instance: string, settingsVersion: number): ClientAction[] {
    if (settingsVersion <= (this.#settings?.version ?? 0)) return []
    return this.#sendPoll(now, instance)
  }

  /** Asks a new leader at once: its answer confirms it, so that proposals are sent to it. */
  onLeaderFollowed(now: number, leader: string): ClientAction[] {
    return this.#poll?.to === leader ? [] : this.#sendPoll(now, leader)
  }

  tick(now: number): ClientAction[] {
    const reports = this.#reportLeaseChange(now)
    const { attemptMs } = this.#options.timing
    if (this.#poll !== undefined) {
      if (now - this.#poll.sentAt < attemptMs) return reports
      this.#finder.clearLeader(this.#poll.to)
      this.#poll = undefined
    } else if (now < this.#pollDueAt) {
      return reports
    }
    const to = this.#finder.nextTarget()
    return to === undefined ? reports : [...reports, ...this.#sendPoll(now, to)]
  }

  #sendPoll(now: number, to: string): ClientAction[] {
    const { instance, boot } = this.#options
    const requestId = `${instance}.${boot}.poll.${++this.#pollCount}`
    this.#poll = { requestId, to, sentAt: now }
    const value = { requestId, auditFrom: -1 }
    return [{ kind: ClientActionKind.Send, to, envelope: envelope({ case: 'readControl', value }) }]
  }

  #sendConfirmation(to: string): ClientAction[] {
    if (this.#settings === undefined) return []
    const value = { version: this.#settings.version, atMs: this.#appliedAt }
    const message = envelope({ case: 'settingsApplied', value })
    return [{ kind: ClientActionKind.Send, to, envelope: message }]
  }

  #reportLeaseChange(now: number): ClientAction[] {
    if (this.#settings === undefined || this.isCurrent(now) === this.#reportedCurrent) return []
    return [this.#reportSettings(now)]
  }

  #reportSettings(now: number): ClientAction {
    const settings = this.#settings
    if (settings === undefined) throw new Error('no settings are known')
    const current = this.isCurrent(now)
    this.#reportedCurrent = current
    return { kind: ClientActionKind.SettingsChanged, settings, current }
  }
}
