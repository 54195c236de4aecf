import { create } from '@bufbuild/protobuf'
import { isValidName } from '@cherryhitch/model'
import { BatchReceiptSchema } from '@cherryhitch/protocol'
import type { BatchReceipt, EnvelopeBatch } from '@cherryhitch/protocol'
import { BatchPacer, systemClock } from '@cherryhitch/runtime'
import { Code, ConnectError } from '@connectrpc/connect'
import type { HandlerContext } from '@connectrpc/connect'
import { AsyncQueue } from '../queue/AsyncQueue'
import { deliverEnvelope } from '../host/deliverEnvelope'
import type { DeliveryOptions } from '../host/deliverEnvelope'
import { Inbox, InboxVerdict } from './Inbox'
import { tokenMatches } from './tokenMatches'

/** @internal */
export interface BatchReceiverOptions extends DeliveryOptions {
  /** Boot number of this process, which is sent in receipts. */
  readonly boot: number
  readonly token: string | undefined
  readonly maxSenders: number
  /** See `LinkTuning`. */
  readonly receiptGapMs: number
}

const verdictCodes: Readonly<Partial<Record<InboxVerdict, Code>>> = {
  [InboxVerdict.StaleBoot]: Code.FailedPrecondition,
  [InboxVerdict.Superseded]: Code.Aborted,
  [InboxVerdict.Full]: Code.ResourceExhausted,
}

/** Receives the streams of all senders. A protocol error ends only its own stream. @internal */
export class BatchReceiver {
  readonly #inbox: Inbox
  #lastStream = 0

  constructor(private readonly options: BatchReceiverOptions) {
    this.#inbox = new Inbox(options.maxSenders)
  }

  /** Handler of `LinkService.Exchange`. For the rate of receipts, see `LinkTuning.receiptGapMs`. */
  async *exchange(
    batches: AsyncIterable<EnvelopeBatch>,
    context: HandlerContext,
  ): AsyncGenerator<BatchReceipt> {
    this.#authorise(context.requestHeader.get('authorization'))
    const receipts = new AsyncQueue<BatchReceipt>()
    const reading = this.#read(batches, receipts)
    // Prevents an unhandled rejection if the client closes the stream before this is awaited.
    reading.catch(() => undefined)
    yield* receipts
    await reading
  }

  /** Receives batches until the stream ends; fails on the first protocol error. */
  async #read(
    batches: AsyncIterable<EnvelopeBatch>,
    receipts: AsyncQueue<BatchReceipt>,
  ): Promise<void> {
    const pacer = new BatchPacer(this.options.receiptGapMs)
    let first: EnvelopeBatch | undefined
    let stream = 0
    try {
      for await (const batch of batches) {
        if (first === undefined) {
          first = batch
          stream = this.#openStream(batch)
        }
        this.#handleBatch(first, batch, stream)
        this.#scheduleReceipt(batch, pacer, receipts)
      }
    } finally {
      receipts.end()
    }
  }

  #scheduleReceipt(
    { from }: EnvelopeBatch,
    pacer: BatchPacer,
    receipts: AsyncQueue<BatchReceipt>,
  ): void {
    const send = (): void => {
      pacer.recordSend(systemClock.now())
      const sequence = this.#inbox.highest(from)
      receipts.push(create(BatchReceiptSchema, { sequence, fromBoot: this.options.boot }))
    }
    const waitMs = pacer.requestSend(systemClock.now())
    if (waitMs === undefined) return
    if (waitMs === 0) send()
    else setTimeout(send, waitMs)
  }

  #authorise(header: string | null): void {
    const { token } = this.options
    if (token === undefined || tokenMatches(header, token)) return
    throw this.#createRefusal('wrong or missing token', Code.Unauthenticated)
  }

  #openStream(batch: EnvelopeBatch): number {
    const { from, fromBoot } = batch
    if (!isValidName(from) || !isCount(fromBoot)) {
      throw this.#createRefusal('malformed sender', Code.InvalidArgument)
    }
    this.#lastStream += 1
    this.#check(this.#inbox.open(systemClock.now(), from, fromBoot, this.#lastStream), batch)
    return this.#lastStream
  }

  #handleBatch(first: EnvelopeBatch, batch: EnvelopeBatch, stream: number): void {
    const { from, fromBoot, sequence, envelopes } = batch
    if (from !== first.from || fromBoot !== first.fromBoot || !isCount(sequence)) {
      throw this.#createRefusal(`malformed batch from ${first.from}`, Code.InvalidArgument)
    }
    const isEmpty = envelopes.length === 0
    const arrived = { from, boot: fromBoot, stream, sequence, isEmpty }
    const verdict = this.#inbox.accept(systemClock.now(), arrived)
    this.#check(verdict, batch)
    this.options.counters.batchesReceived += 1
    if (verdict === InboxVerdict.Duplicate) this.options.counters.duplicateBatches += 1
    else this.#deliver(batch)
  }

  #check(verdict: InboxVerdict, { from, fromBoot }: EnvelopeBatch): void {
    const code = verdictCodes[verdict]
    if (code === undefined) return
    if (verdict === InboxVerdict.StaleBoot) {
      this.options.counters.staleBoots += 1
      this.options.handlers.onStaleBoot?.(from, fromBoot)
      throw new ConnectError(verdict, code)
    }
    if (verdict === InboxVerdict.Full) this.options.counters.refusedFull += 1
    if (verdict === InboxVerdict.Superseded) this.options.counters.refusedSuperseded += 1
    throw this.#createRefusal(`${from}: ${verdict}`, code)
  }

  #deliver({ from, fromBoot, envelopes }: EnvelopeBatch): void {
    for (const envelope of envelopes) deliverEnvelope(this.options, from, fromBoot, envelope)
  }

  #createRefusal(message: string, code: Code): ConnectError {
    this.options.counters.refusedStreams += 1
    this.options.handlers.log(`stream refused: ${message}`)
    return new ConnectError(message, code)
  }
}

/** Whether a sequence or boot number is a non-negative integer that is exact as a double. */
function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0
}
