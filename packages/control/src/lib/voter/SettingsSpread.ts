import { create } from '@bufbuild/protobuf'
import { CommandSchema, InForceAtSchema } from '@cherryhitch/protocol'
import type { InForceAt, SettingsApplied } from '@cherryhitch/protocol'
import type { VoterCore } from './VoterCore'

/**
 * Stands for all instances in the record: each had confirmed the version, or its lease on an
 * earlier one had run out.
 *
 * @public
 */
export const EVERY_INSTANCE = '*'

/** An instance that asked for the settings, and may call them current for the lease. */
interface Holder {
  boot: number
  heardAt: number
  /** Version that it confirmed to this leader. */
  applied: number
  noticedAt: number
}

/**
 * Brings a new version to all instances and records when it took force with each, and when no
 * instance could call an older one current any more.
 *
 * @internal
 */
export class SettingsSpread {
  readonly #core: VoterCore
  readonly #startedAt: number
  readonly #holders = new Map<string, Holder>()
  readonly #confirmed = new Map<string, InForceAt>()
  #confirmDueAt: number | undefined
  #everywhere = 0
  #proposed = 0

  constructor(core: VoterCore, now: number) {
    this.#core = core
    this.#startedAt = now
  }

  /** An instance asked for the settings: its lease starts again. */
  noteRead(now: number, instance: string, boot: number): void {
    const holder = this.#holders.get(instance)
    if (holder?.boot === boot) holder.heardAt = now
    else this.#holders.set(instance, { boot, heardAt: now, applied: 0, noticedAt: -Infinity })
  }

  noteApplied(now: number, instance: string, boot: number, req: SettingsApplied): void {
    const { version, atMs } = req
    const holder = this.#holders.get(instance)
    if (holder?.boot === boot) holder.applied = Math.max(holder.applied, version)
    const inForce = create(InForceAtSchema, { instance, boot, version, atMs })
    if (this.#core.state?.isRecordedInForce(inForce) !== false) return
    this.#confirmed.set(instance, inForce)
    this.#confirmDueAt ??= now + this.#core.config.timing.confirmBatchMs
  }

  tick(now: number): void {
    const version = this.#core.state?.settings.version ?? 0
    this.#sendNotices(now, version)
    this.#recordEverywhere(now, version)
    if (this.#confirmDueAt === undefined || now < this.#confirmDueAt) return
    this.#confirmDueAt = undefined
    const instances = [...this.#confirmed.values()]
    this.#confirmed.clear()
    this.#propose(instances)
  }

  #sendNotices(now: number, version: number): void {
    const settings = this.#core.state?.settings
    if (settings === undefined) return
    const { noticeResendMs } = this.#core.config.timing
    for (const [instance, holder] of this.#holders) {
      if (holder.applied >= version || this.#hasLapsed(now, holder)) continue
      if (now - holder.noticedAt < noticeResendMs) continue
      holder.noticedAt = now
      this.#core.send(instance, { case: 'settingsNotice', value: { settings } })
    }
  }

  /** A new version was committed: it is sent out at once. */
  announce(now: number): void {
    for (const holder of this.#holders.values()) holder.noticedAt = -Infinity
    this.#sendNotices(now, this.#core.state?.settings.version ?? 0)
  }

  #recordEverywhere(now: number, version: number): void {
    // A leader before this one may have given out leases that this one knows nothing of.
    const { settingsLeaseMs } = this.#core.config.timing
    if (this.#everywhere >= version || now - this.#startedAt < settingsLeaseMs) return
    const waits = [...this.#holders.values()].some((holder) => {
      return holder.applied < version && !this.#hasLapsed(now, holder)
    })
    if (waits) return
    this.#everywhere = version
    const instance = EVERY_INSTANCE
    const inForce = create(InForceAtSchema, { instance, version, atMs: now })
    if (this.#core.state?.isRecordedInForce(inForce) !== false) return
    this.#confirmed.set(instance, inForce)
    this.#confirmDueAt ??= now
  }

  #hasLapsed(now: number, holder: Holder): boolean {
    return now - holder.heardAt > this.#core.config.timing.settingsLeaseMs
  }

  #propose(instances: InForceAt[]): void {
    const { diskId, term } = this.#core
    const commandId = `in-force.${diskId}.${term}.${++this.#proposed}`
    const change = { case: 'recordInForce' as const, value: { instances } }
    this.#core.appendCommand(create(CommandSchema, { commandId, change }))
  }
}
