import type { EndpointNotice } from '@cherryhitch/protocol'
import type { LossUpdate } from '../crashes/LossUpdate'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'

/** Minimum interval between writes of an instance's directory, in milliseconds. */
const STORE_MS = 200
/** Minimum interval between writes when a leader broadcasts losses, in milliseconds. */
const STORE_NEWS_MS = 50

interface Stored {
  readonly at: number
  readonly notices: readonly EndpointNotice[]
  readonly news: LossUpdate
}

/** Directories of endpoints on the disks of simulated instances. @internal */
export class StoredDirectories {
  readonly #stored = new Map<number, Stored>()

  tick(now: number, instance: number, machine: DispatchMachine | undefined): void {
    this.#store(now, instance, machine, STORE_MS)
  }

  /** Stores the directory of a leader that broadcasts losses of endpoints. */
  noteNews(now: number, instance: number, machine: DispatchMachine | undefined): void {
    this.#store(now, instance, machine, STORE_NEWS_MS)
  }

  #store(now: number, instance: number, machine: DispatchMachine | undefined, gapMs: number): void {
    if (machine === undefined) return
    const storedAt = this.#stored.get(instance)?.at ?? -Infinity
    if (now - storedAt < gapMs) return
    const [notices, news] = [machine.notices(now), machine.losses(now)]
    this.#stored.set(instance, { at: now, notices, news })
  }

  /** Returns the stored directory as events for the next process of an instance. */
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
