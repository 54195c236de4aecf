import type { EndpointNotice } from '@cherryhitch/protocol'
import type { LossUpdate } from '../crashes/LossUpdate'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'

/** How often directories are stored, and what a leader tells others at the most, in milliseconds. */
const STORE_MS = 200
const STORE_NEWS_MS = 50

interface Stored {
  readonly at: number
  readonly notices: readonly EndpointNotice[]
  readonly news: LossUpdate
}

/** What simulated instances have on their disks of endpoints. @internal */
export class StoredDirectories {
  readonly #stored = new Map<number, Stored>()

  tick(now: number, instance: number, machine: DispatchMachine): void {
    this.#store(now, instance, machine, STORE_MS)
  }

  /** The instance leads, and tells others of lost endpoints. */
  noteNews(now: number, instance: number, machine: DispatchMachine): void {
    this.#store(now, instance, machine, STORE_NEWS_MS)
  }

  #store(now: number, instance: number, machine: DispatchMachine, gapMs: number): void {
    const storedAt = this.#stored.get(instance)?.at ?? -Infinity
    if (now - storedAt < gapMs) return
    const [notices, news] = [machine.notices(now), machine.losses(now)]
    this.#stored.set(instance, { at: now, notices, news })
  }

  /** What the next process of an instance reads at its start. */
  read(instance: number): DispatchEvent[] {
    const stored = this.#stored.get(instance)
    if (stored === undefined) return []
    const { notices, news } = stored
    const told = notices.map((notice) => {
      return { kind: DispatchEventKind.Notice as const, notice: { ...notice, ageMs: 0 } }
    })
    return [{ kind: DispatchEventKind.EndpointLosses, losses: news }, ...told]
  }
}
