/** How an incoming batch or stream is handled. */
export enum InboxVerdict {
  Deliver = 'deliver',
  /** Already delivered, over this stream or an earlier one, or dropped by the sender. */
  Duplicate = 'duplicate',
  /** A newer process of the sender has connected. */
  StaleBoot = 'stale boot',
  /** The sender's process has opened a newer stream. */
  Superseded = 'superseded',
  /** The sender is unknown, and the limit of tracked senders is reached. */
  Full = 'too many senders',
}

/**
 * How long a sender's boot number is enforced after its last batch. A live sender sends several
 * batches a second, so one that was silent for longer has ended. Boot numbers are derived from the
 * wall clock, which may have been set back since, so a lower number must then be accepted.
 */
const BOOT_RETENTION_MS = 3_000

/**
 * A sender that was silent for longer may be forgotten to make room for a new one: its instance was
 * most likely replaced. Far longer than a machine is suspended, since a sender that returns may send
 * its last batches again, and only its record shows that they were delivered.
 */
const SENDER_RETENTION_MS = 60_000

/** The properties of a batch that decide whether it is delivered. */
export interface ArrivedBatch {
  readonly from: string
  readonly boot: number
  readonly stream: number
  readonly sequence: number
  readonly isEmpty: boolean
}

interface Sender {
  readonly boot: number
  /** Number of the stream from which batches are accepted. */
  stream: number
  /** Highest sequence delivered, or dropped by the sender. */
  highest: number
  heardAt: number
}

/**
 * Decides which batches are delivered, so that each is delivered at most once and in order.
 *
 * It keeps one record per sender, not per stream: sequence numbers continue across the streams of
 * one process, and restart with the next boot number.
 */
export class Inbox {
  readonly #senders = new Map<string, Sender>()

  constructor(private readonly maxSenders: number) {}

  /** Makes a stream the only one accepted from its sender. Stream numbers must increase. */
  open(now: number, from: string, boot: number, stream: number): InboxVerdict {
    const known = this.#senders.get(from)
    if (known === undefined && !this.#hasRoom(now)) return InboxVerdict.Full
    if (known !== undefined && boot < known.boot && now - known.heardAt <= BOOT_RETENTION_MS) {
      return InboxVerdict.StaleBoot
    }
    if (known?.boot === boot) known.stream = stream
    else this.#senders.set(from, { boot, stream, highest: 0, heardAt: now })
    return InboxVerdict.Deliver
  }

  /** Handles one batch. An empty batch states that no sequence up to its own will be sent again. */
  accept(now: number, { from, boot, stream, sequence, isEmpty }: ArrivedBatch): InboxVerdict {
    const sender = this.#senders.get(from)
    if (sender === undefined || boot < sender.boot) return InboxVerdict.StaleBoot
    if (sender.stream !== stream) return InboxVerdict.Superseded
    sender.heardAt = now
    if (sequence <= sender.highest) {
      return isEmpty ? InboxVerdict.Deliver : InboxVerdict.Duplicate
    }
    sender.highest = sequence
    return InboxVerdict.Deliver
  }

  /** Whether another sender can be tracked; forgets the one that was silent for longest if needed. */
  #hasRoom(now: number): boolean {
    if (this.#senders.size < this.maxSenders) return true
    const [longest] = [...this.#senders].sort(([, a], [, b]) => a.heardAt - b.heardAt)
    if (longest === undefined || now - longest[1].heardAt < SENDER_RETENTION_MS) return false
    return this.#senders.delete(longest[0])
  }

  /** The sequence for a receipt to the sender. */
  highest(from: string): number {
    return this.#senders.get(from)?.highest ?? 0
  }
}
