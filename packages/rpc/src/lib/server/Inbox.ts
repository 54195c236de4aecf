/** What becomes of a batch that came in. */
export enum InboxVerdict {
  Deliver = 'deliver',
  /** Delivered before, over this stream or an earlier one. */
  Duplicate = 'duplicate',
  /** A newer process of the sender was seen. */
  StaleBoot = 'stale boot',
  /** The sender's process has a newer stream. */
  Superseded = 'superseded',
  /** The sender is not known and there is no room to remember it. */
  Full = 'too many senders',
}

/**
 * A sender that was silent for longer is gone: a living one is heard some times a second. Boots
 * come from the time of day, which may have been set back since the last process started.
 */
const FORGET_BOOT_MS = 3_000

/** What decides about a batch. */
export interface ArrivedBatch {
  readonly from: string
  readonly boot: number
  readonly stream: number
  readonly sequence: number
  readonly isEmpty: boolean
}

interface Sender {
  readonly boot: number
  /** Number of the stream that is listened to. */
  stream: number
  /** Highest sequence delivered, or given up by the sender. */
  highest: number
  heardAt: number
}

/**
 * Decides which batches are delivered, so that each arrives at most once and in order.
 *
 * It remembers one line per sender name, not per stream: sequences go on over the streams of
 * one process, and start anew with the next boot.
 */
export class Inbox {
  readonly #senders = new Map<string, Sender>()

  constructor(private readonly maxSenders: number) {}

  /** Makes a stream the one that is listened to. Stream numbers rise. */
  open(now: number, from: string, boot: number, stream: number): InboxVerdict {
    const known = this.#senders.get(from)
    if (known === undefined && this.#senders.size >= this.maxSenders) return InboxVerdict.Full
    if (known !== undefined && boot < known.boot && now - known.heardAt <= FORGET_BOOT_MS) {
      return InboxVerdict.StaleBoot
    }
    if (known?.boot === boot) known.stream = stream
    else this.#senders.set(from, { boot, stream, highest: 0, heardAt: now })
    return InboxVerdict.Deliver
  }

  /** Takes one batch in. An empty one only says below which sequence nothing will come. */
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

  /** The sequence that a receipt to the sender names. */
  highest(from: string): number {
    return this.#senders.get(from)?.highest ?? 0
  }
}
