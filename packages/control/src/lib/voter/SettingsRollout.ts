import { create } from '@bufbuild/protobuf'
import { CommandSchema, InForceAtSchema } from '@cherryhitch/protocol'
import type { InForceAt, SettingsApplied } from '@cherryhitch/protocol'
import type { VoterCore } from './VoterCore'

/**
 * Stands for all instances in an audit record: each of them had confirmed the version, or its lease
 * on an earlier version had expired.
 *
 * @public
 */
export const EVERY_INSTANCE = '*'

/**
 * An instance that asked for the settings and may treat them as current until its lease expires.
 */
interface LeaseHolder {
  boot: number
  renewedAt: number
  /** Highest version that the instance confirmed to this leader. */
  confirmed: number
  noticedAt: number
}

/**
 * Rolls out a new settings version to all instances. Records in the audit log when the version took
 * effect at each instance, and when no instance could treat an older one as current any more.
 *
 * @internal
 */
export class SettingsRollout {
  readonly #core: VoterCore
  readonly #startedAt: number
  readonly #holders = new Map<string, LeaseHolder>()
  readonly #pendingConfirmations = new Map<string, InForceAt>()
  #proposalDueAt: number | undefined
  #versionInForceEverywhere = 0
  #proposalCount = 0

  constructor(core: VoterCore, now: number) {
    this.#core = core
    this.#startedAt = now
  }

  /** Renews the lease of an instance that asked for the settings. */
  renewLease(now: number, instance: string, boot: number): void {
    const holder = this.#holders.get(instance)
    if (holder?.boot === boot) holder.renewedAt = now
    else this.#holders.set(instance, { boot, renewedAt: now, confirmed: 0, noticedAt: -Infinity })
  }

  onSettingsApplied(now: number, instance: string, boot: number, req: SettingsApplied): void {
    const { version, atMs } = req
    const holder = this.#holders.get(instance)
    if (holder?.boot === boot) holder.confirmed = Math.max(holder.confirmed, version)
    const inForce = create(InForceAtSchema, { instance, boot, version, atMs })
    if (this.#core.state?.isRecordedInForce(inForce) !== false) return
    this.#pendingConfirmations.set(instance, inForce)
    this.#proposalDueAt ??= now + this.#core.config.timing.confirmBatchMs
  }

  tick(now: number): void {
    const version = this.#core.state?.settings.version ?? 0
    this.#sendNotices(now, version)
    this.#checkInForceEverywhere(now, version)
    if (this.#proposalDueAt === undefined || now < this.#proposalDueAt) return
    this.#proposalDueAt = undefined
    const instances = [...this.#pendingConfirmations.values()]
    this.#pendingConfirmations.clear()
    this.#propose(instances)
  }

  #sendNotices(now: number, version: number): void {
    const settings = this.#core.state?.settings
    if (settings === undefined) return
    const { noticeResendMs } = this.#core.config.timing
    for (const [instance, holder] of this.#holders) {
      if (holder.confirmed >= version || this.#isLeaseExpired(now, holder)) continue
      if (now - holder.noticedAt < noticeResendMs) continue
      holder.noticedAt = now
      this.#core.send(instance, { case: 'settingsNotice', value: { settings } })
    }
  }

  /** Sends a newly committed version to all lease holders at once. */
  notifyAll(now: number): void {
    for (const holder of this.#holders.values()) holder.noticedAt = -Infinity
    this.#sendNotices(now, this.#core.state?.settings.version ?? 0)
  }

  #checkInForceEverywhere(now: number, version: number): void {
    // An earlier leader may have granted leases that this leader does not know of.
    const { settingsLeaseMs } = this.#core.config.timing
    if (this.#versionInForceEverywhere >= version || now - this.#startedAt < settingsLeaseMs) return
    const isAwaited = [...this.#holders.values()].some((holder) => {
      return holder.confirmed < version && !this.#isLeaseExpired(now, holder)
    })
    if (isAwaited) return
    this.#versionInForceEverywhere = version
    const instance = EVERY_INSTANCE
    const inForce = create(InForceAtSchema, { instance, version, atMs: now })
    if (this.#core.state?.isRecordedInForce(inForce) !== false) return
    this.#pendingConfirmations.set(instance, inForce)
    this.#proposalDueAt ??= now
  }

  #isLeaseExpired(now: number, holder: LeaseHolder): boolean {
    return now - holder.renewedAt > this.#core.config.timing.settingsLeaseMs
  }

  #propose(instances: InForceAt[]): void {
    const { diskId, term } = this.#core
    const commandId = `in-force.${diskId}.${term}.${++this.#proposalCount}`
    const change = { case: 'recordInForce' as const, value: { instances } }
    this.#core.appendCommand(create(CommandSchema, { commandId, change }))
  }
}
