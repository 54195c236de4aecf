import type { DispatchEvent } from '@cherryhitch/dispatch'
import { DispatchEventKind } from '@cherryhitch/dispatch'
import { wrapMessage } from '@cherryhitch/protocol'
import type { Envelope, OpenJobs } from '@cherryhitch/protocol'

/**
 * A request without an answer is repeated after this time, in milliseconds. So an unreachable leader
 * doesn't get a queue of requests when it is reachable again.
 */
const RETRY_MS = 500

/** @internal */
export interface OpenJobsReaderOptions {
  readonly instance: string
  readonly boot: number
  readonly leader: () => string
  readonly tell: (event: DispatchEvent) => void
  readonly send: (to: string, message: Envelope) => void
}

/**
 * Reads from the leader which jobs it may be running, so that this instance knows them if it is
 * elected.
 *
 * @internal
 */
export class OpenJobsReader {
  #askedAt = -Infinity
  #asked = ''

  constructor(private readonly options: OpenJobsReaderOptions) {}

  /** Sends the next request, unless one is pending. */
  tick(now: number): void {
    const { instance, boot, send } = this.options
    const leader = this.options.leader()
    const isPending = leader === this.#asked && now - this.#askedAt < RETRY_MS
    if (leader === '' || leader === instance || isPending) return
    this.#asked = leader
    this.#askedAt = now
    const $typeName = 'cherryhitch.v1.ReadOpenJobs' as const
    const value = { $typeName, askedAt: now, fromBoot: boot }
    send(leader, wrapMessage({ case: 'readOpenJobs', value }))
  }

  onReport(from: string, openJobs: OpenJobs): void {
    // An answer to an earlier process has a time of that process's clock.
    if (openJobs.fromBoot !== this.options.boot) return
    if (from === this.#asked) this.#asked = ''
    this.options.tell({ kind: DispatchEventKind.OpenJobs, openJobs })
  }
}
