import { RoutingFault } from '@cherryhitch/platform'
import type { InvalidRouting, RoutingChange } from '@cherryhitch/platform'
import type { RoutingState, RoutingTable } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import { decompressDocument, describeDocument } from './RoutingDocument'

/** Minimum interval between log lines about reads with the same result, in milliseconds. */
const SAME_READ_LOG_INTERVAL_MS = 1_000

/** How a change that was proposed to the log ended. @internal */
export interface ProposalResult {
  /** True once the log has applied it, which acknowledges it. */
  readonly applied: boolean
  readonly outcome: string
  readonly detail: string
  /** Time until the answer. */
  readonly ms: number
  readonly commandId: string
}

/** How a read of the configuration ended. @internal */
export enum ReadOutcome {
  Answered = 'answered',
  /** A majority has confirmed that there is none yet. */
  Empty = 'empty',
  /** No majority has confirmed which one is the newest. */
  Unconfirmed = 'unconfirmed',
}

/** @internal */
export interface ReadResult {
  readonly version: number
  /** Undefined if none was returned. */
  readonly document: string | undefined
  readonly outcome: ReadOutcome
  readonly from: string
  /** Time until the answer. */
  readonly ms: number
}

/**
 * Logs and counts the configurations that operators send and read, and those that come into force
 * here. The digest of the document tells whether what is in force or read back is what was sent.
 *
 * @internal
 */
export class RoutingTelemetry {
  private inForceVersion = 0
  /** The highest version that this process has acknowledged. */
  private acknowledgedVersion = 0
  private readonly refused = new Map<RoutingFault, number>()
  private readonly counts = { accepted: 0, unanswered: 0 }
  private readonly reads = new Map<ReadOutcome, number>()
  private lastRead = ''
  private readLoggedAt = -Infinity
  private readsNotLogged = 0

  constructor(private readonly log: PartLog) {}

  onFinished({ table, document, from }: RoutingChange, result: ProposalResult): void {
    const { version, routes, services } = table
    const { applied, ...fields } = result
    if (applied) {
      this.counts.accepted++
      this.acknowledgedVersion = Math.max(this.acknowledgedVersion, version)
    } else this.counts.unanswered++
    const sizes = { routes: routes.length, services: services.length }
    const content = { version, ...describeDocument(document), ...sizes }
    this.log.info('routing update finished', { ...content, ...fields, from })
  }

  onRefused({ fault, reason, document, from }: InvalidRouting): void {
    increment(this.refused, fault)
    const fields = { fault, reason, ...describeDocument(document), from }
    this.log.warn('rejected an invalid routing configuration', fields)
  }

  onInForce({ version, routes }: RoutingTable, { document }: RoutingState): void {
    this.inForceVersion = version
    const { digest } = describeDocument(decompressDocument(document))
    const fields = { version, digest, routes: routes.length }
    this.log.info('routing configuration in force', fields)
  }

  onRead(now: number, { version, document, outcome, from, ms }: ReadResult): void {
    increment(this.reads, outcome)
    const digest = document === undefined ? '' : describeDocument(document).digest
    const read = `${version} ${digest} ${outcome}`
    if (read === this.lastRead && now - this.readLoggedAt < SAME_READ_LOG_INTERVAL_MS) {
      this.readsNotLogged++
      return
    }
    const notLogged = this.readsNotLogged
    this.log.info('routing configuration read', { version, digest, outcome, ms, from, notLogged })
    this.lastRead = read
    this.readLoggedAt = now
    this.readsNotLogged = 0
  }

  /** Values for metrics; the versions are gauges and 0 until there is one. */
  counters(): Readonly<Record<string, number>> {
    const { inForceVersion, acknowledgedVersion } = this
    return {
      inForceVersion,
      acknowledgedVersion,
      ...this.counts,
      ...this.countsByKey('refused', this.refused, Object.values(RoutingFault)),
      ...this.countsByKey('reads', this.reads, Object.values(ReadOutcome)),
    }
  }

  private countsByKey<Key extends string>(
    prefix: string,
    counts: ReadonlyMap<Key, number>,
    keys: readonly Key[],
  ): Readonly<Record<string, number>> {
    return Object.fromEntries(keys.map((key) => [`${prefix}_${key}`, counts.get(key) ?? 0]))
  }
}

function increment<Key>(counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}
