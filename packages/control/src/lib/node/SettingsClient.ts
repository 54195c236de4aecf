import { envelope } from '@cherryhitch/protocol'
import type { ReadControlReply, SettingsState, VotersStatus } from '@cherryhitch/protocol'
import { ClientActionKind } from './ClientEvent'
import type { ClientAction } from './ClientEvent'
import type { ClientOptions } from './ClientOptions'
import type { LeaderFinder } from './LeaderFinder'

/**
 * Keeps the newest settings that this instance has seen, and the lease under which it may call
 * them current. It never goes back to an older version.
 *
 * @internal
 */
export class SettingsClient {
  readonly #options: ClientOptions
  readonly #finder: LeaderFinder
  #settings: SettingsState | undefined
  #appliedAt = 0
  /** Version that is being stored, or was last. */
  #kept = 0
  #leaseEndsAt = -Infinity
  #saidCurrent = false
  #voters: VotersStatus | undefined
  #polls = 0
  #poll: { readonly requestId: string; readonly to: string; readonly sentAt: number } | undefined
  #pollDueAt = -Infinity

  constructor(options: ClientOptions, finder: LeaderFinder) {
    this.#options = options
    this.#finder = finder
  }

  get settings(): SettingsState | undefined {
    return this.#settings
  }

  /** The voters, as the leader last told. */
  get voters(): VotersStatus | undefined {
    return this.#voters
  }

  isCurrent(now: number): boolean {
    return this.#settings !== undefined && now < this.#leaseEndsAt
  }

  /** Takes settings that are known to be committed, if they are newer; stores them first. */
  adopt(now: number, settings: SettingsState | undefined): ClientAction[] {
    const known = Math.max(this.#settings?.version ?? 0, this.#kept)
    if (settings === undefined || settings.version <= known) return []
    if (!this.#options.keepsSettings) return this.onKept(now, settings)
    this.#kept = settings.version
    return [{ kind: ClientActionKind.KeepSettings, settings }]
  }

  /** The settings take force here, and the leader gets to know since when. */
  onKept(now: number, settings: SettingsState): ClientAction[] {
    if (settings.version <= (this.#settings?.version ?? 0)) return []
    this.#settings = settings
    this.#appliedAt = now
    const { leader } = this.#finder
    return [this.#changed(now), ...(leader === '' ? [] : this.#confirm(leader))]
  }

  /** The leader asks whether its settings are in force here. */
  onNotice(now: number, from: string, settings: SettingsState | undefined): ClientAction[] {
    const adopted = this.adopt(now, settings)
    const known = this.#settings?.version === settings?.version
    return adopted.length === 0 && known ? this.#confirm(from) : adopted
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
    // The lease counts from the sending, so that it ends no later than the leader reckons.
    if ((reply.settings?.version ?? 0) <= (this.#settings?.version ?? 0)) {
      this.#leaseEndsAt = sentAt + timing.settingsLeaseMs
    }
    return [...adopted, ...this.#tellCurrent(now)]
  }

  /** A peer has newer settings: they are asked for at once. */
  notePeer(now: number, instance: string, settingsVersion: number): ClientAction[] {
    if (settingsVersion <= (this.#settings?.version ?? 0)) return []
    return this.#sendPoll(now, instance)
  }

  tick(now: number): ClientAction[] {
    const told = this.#tellCurrent(now)
    const { attemptMs } = this.#options.timing
    if (this.#poll !== undefined) {
      if (now - this.#poll.sentAt < attemptMs) return told
      this.#finder.noteSilence(this.#poll.to)
      this.#poll = undefined
    } else if (now < this.#pollDueAt) {
      return told
    }
    const to = this.#finder.target()
    return to === undefined ? told : [...told, ...this.#sendPoll(now, to)]
  }

  #sendPoll(now: number, to: string): ClientAction[] {
    const { instance, boot } = this.#options
    const requestId = `${instance}.${boot}.poll.${++this.#polls}`
    this.#poll = { requestId, to, sentAt: now }
    const value = { requestId, auditFrom: -1 }
    return [{ kind: ClientActionKind.Send, to, envelope: envelope({ case: 'readControl', value }) }]
  }

  #confirm(to: string): ClientAction[] {
    if (this.#settings === undefined) return []
    const value = { version: this.#settings.version, atMs: this.#appliedAt }
    const message = envelope({ case: 'settingsApplied', value })
    return [{ kind: ClientActionKind.Send, to, envelope: message }]
  }

  #tellCurrent(now: number): ClientAction[] {
    if (this.#settings === undefined || this.isCurrent(now) === this.#saidCurrent) return []
    return [this.#changed(now)]
  }

  #changed(now: number): ClientAction {
    const settings = this.#settings
    if (settings === undefined) throw new Error('no settings are known')
    const current = this.isCurrent(now)
    this.#saidCurrent = current
    return { kind: ClientActionKind.SettingsChanged, settings, current }
  }
}
