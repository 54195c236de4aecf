import type { SeededRandom } from '@cherryhitch/stand-ins'
import type { Envelope } from '@cherryhitch/protocol'
import type { EventScheduler } from '@cherryhitch/runtime'

/** An envelope on its way from one process to an instance, whichever process that has by then. */
export interface JointMessage {
  readonly from: string
  readonly fromBoot: number
  readonly to: string
  readonly envelope: Envelope
}

/** What the network asks of the run. */
export interface JointReceivers {
  /** Boot of the process that runs, undefined when there is none. */
  readonly bootOf: (instance: string) => number | undefined
  readonly deliver: (message: JointMessage) => void
}

interface Link {
  /** In order; the first ones have the earliest due times. */
  waiting: { readonly message: JointMessage; readonly sentAt: number; readonly dueAt: number }[]
  /** What the receiving process may not have confirmed yet. */
  delivered: { readonly message: JointMessage; readonly at: number }[]
  lastDueAt: number
  isScheduled: boolean
}

/** As long as a batch may go without a receipt. */
const UNCONFIRMED_MS = 300
const RETRY_MS = 50
const STALE_AFTER_MS = 2000

/**
 * Links as the program has them: each keeps its order, delivers to one process at most once,
 * waits for a peer that is out of reach, and sends what has no receipt again to the next process.
 */
export class JointNetwork {
  maxDelayMs = 3
  duplicated = 0
  readonly cuts = new Set<string>()
  private readonly links = new Map<string, Link>()
  private readonly newestBoot = new Map<string, number>()

  constructor(
    private readonly agenda: EventScheduler,
    private readonly random: SeededRandom,
    private readonly receivers: JointReceivers,
  ) {}

  send(message: JointMessage): void {
    const { now } = this.agenda
    const link = this.link(message.from, message.to)
    const dueAt = Math.max(link.lastDueAt, now + this.random.between(0.1, this.maxDelayMs))
    link.lastDueAt = dueAt
    link.waiting.push({ message, sentAt: now, dueAt })
    this.schedule(link)
  }

  /** The process ended: what waits with it is lost, but for what is on the wire already. */
  senderEnded(instance: string): void {
    for (const [name, link] of this.links) {
      if (!name.startsWith(`${instance}>`)) continue
      const kept = Math.floor(this.random.between(0, link.waiting.length + 1))
      link.waiting = link.waiting.slice(0, kept)
    }
  }

  /** A new process listens: the last messages, which have no receipt, come again. */
  receiverStarted(instance: string): void {
    for (const [name, link] of this.links) {
      if (!name.endsWith(`>${instance}`)) continue
      const { now } = this.agenda
      const unconfirmed = link.delivered.filter(({ at }) => at > now - UNCONFIRMED_MS)
      link.delivered = []
      const from = Math.floor(this.random.between(0, unconfirmed.length + 1))
      const again = unconfirmed
        .slice(from)
        .map(({ message, at }) => ({ message, sentAt: at, dueAt: now }))
      this.duplicated += again.length
      link.waiting.unshift(...again)
      this.schedule(link)
    }
  }

  private link(from: string, to: string): Link {
    const name = `${from}>${to}`
    const known = this.links.get(name)
    if (known !== undefined) return known
    const link: Link = { waiting: [], delivered: [], lastDueAt: 0, isScheduled: false }
    this.links.set(name, link)
    return link
  }

  private schedule(link: Link): void {
    const [first] = link.waiting
    if (first === undefined || link.isScheduled) return
    link.isScheduled = true
    this.agenda.after(Math.max(0, first.dueAt - this.agenda.now), () => {
      link.isScheduled = false
      this.flush(link)
    })
  }

  private flush(link: Link): void {
    const { now } = this.agenda
    const [first] = link.waiting
    if (first === undefined || first.dueAt > now) {
      this.schedule(link)
      return
    }
    const { from, to } = first.message
    const isReachable = this.receivers.bootOf(to) !== undefined && !this.cuts.has(`${from}>${to}`)
    if (!isReachable) {
      this.postpone(link)
      return
    }
    link.waiting.shift()
    this.deliver(link, first.message)
    this.schedule(link)
  }

  private postpone(link: Link): void {
    const { now } = this.agenda
    link.waiting = link.waiting
      .filter(({ sentAt }) => sentAt > now - STALE_AFTER_MS)
      .map((each) => ({ ...each, dueAt: Math.max(each.dueAt, now + RETRY_MS) }))
    this.schedule(link)
  }

  /** A process that has heard of a newer boot of the sender drops what the older one sent. */
  private deliver(link: Link, message: JointMessage): void {
    const { from, fromBoot, to } = message
    const receiver = `${to}.${this.receivers.bootOf(to) ?? 0}<${from}`
    const newest = this.newestBoot.get(receiver) ?? 0
    if (fromBoot < newest) return
    this.newestBoot.set(receiver, fromBoot)
    const { now } = this.agenda
    link.delivered = link.delivered.filter(({ at }) => at > now - UNCONFIRMED_MS)
    link.delivered.push({ message, at: now })
    this.receivers.deliver(message)
  }
}
