import type { Socket } from 'node:net'
import { DelayTimer } from '../util/DelayTimer'

/** Bytes on their way in one direction, before the sender is held back. */
const MAX_HELD_BYTES = 1024 * 1024

interface HeldAct {
  readonly act: () => void
  ready: boolean
}

/** One direction of a connection: forwards bytes in order, late or not at all. @internal */
export class LinkPipe {
  private readonly timer = new DelayTimer()
  private readonly held: HeldAct[] = []
  private heldBytes = 0
  private silent = false
  private stalled = false

  /** @param delayMs - asked anew for each chunk */
  constructor(
    private readonly source: Socket,
    private readonly sink: Socket,
    private readonly delayMs: () => number,
  ) {
    source.on('data', (chunk: Buffer) => {
      this.take(chunk)
    })
    source.on('end', () => {
      this.later(() => sink.end())
    })
    source.on('close', () => {
      this.later(() => sink.destroy())
    })
    sink.on('drain', () => {
      this.settleFlow()
    })
  }

  /** Drops what is on its way and all that follows, closes included. */
  silence(): void {
    this.silent = true
    this.held.length = 0
    this.heldBytes = 0
    this.source.resume()
  }

  /** Holds back all that comes, closes included, until it goes on. */
  stall(): void {
    this.stalled = true
    this.settleFlow()
  }

  goOn(): void {
    if (!this.stalled) return
    this.stalled = false
    this.releaseReady()
    this.settleFlow()
  }

  private take(chunk: Buffer): void {
    if (this.silent) return
    this.heldBytes += chunk.length
    this.later(() => {
      this.heldBytes -= chunk.length
      this.sink.write(chunk)
      this.settleFlow()
    })
    this.settleFlow()
  }

  private settleFlow(): void {
    if (this.silent) return
    const full = this.sink.writableNeedDrain || this.heldBytes > MAX_HELD_BYTES
    const blocked = this.stalled || full
    if (blocked) this.source.pause()
    else if (this.source.isPaused()) this.source.resume()
  }

  private later(act: () => void): void {
    if (this.silent) return
    const wait = this.timer.round(this.delayMs())
    if (wait === 0 && this.held.length === 0 && !this.stalled) {
      act()
      return
    }
    const entry: HeldAct = { act, ready: wait === 0 }
    this.held.push(entry)
    if (wait > 0) setTimeout(this.release, wait, entry)
  }

  /** A later chunk with a shorter wait must not overtake, so only the head is let go. */
  private readonly release = (entry: HeldAct): void => {
    entry.ready = true
    this.releaseReady()
  }

  private releaseReady(): void {
    while (!this.stalled && this.held[0]?.ready === true) this.held.shift()?.act()
  }
}
