import type { Writable } from 'node:stream'

/** Bytes that the stream may buffer on a slow disk before lines are dropped. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024
/**
 * Lines that arrive within this delay are written as one batch. A leader logs about 500 lines per
 * second, and each write is a system call. A process that is killed loses up to this
 * much of its log.
 */
const BATCH_DELAY_MS = 20
/** A batch of more characters than this is written immediately. */
const MAX_BATCH_LENGTH = 64 * 1024

/** Time after which a stream that has failed, as on a full disk, is replaced by a new one. */
const REOPEN_DELAY_MS = 1_000

/** Flushed on process exit, since the last lines tell why the process ended. */
const openWriters = new Set<LineWriter>()
process.once('exit', () => {
  for (const writer of openWriters) writer.flush()
})

/**
 * Writes lines to a stream without blocking. Lines that exceed the buffer are dropped, and so are
 * those that arrive while the stream has failed.
 *
 * @internal
 */
export class LineWriter {
  #dropped = 0
  #isBroken = false
  #batch = ''
  #timer: NodeJS.Timeout | undefined
  #reopenTimer: NodeJS.Timeout | undefined
  #stream: Writable

  /** @param reopen - opens a stream in place of one that has failed; without it, a failure is final */
  constructor(
    stream: Writable,
    private readonly maxBufferedBytes = MAX_BUFFERED_BYTES,
    private readonly reopen?: () => Writable,
  ) {
    this.#stream = stream
    this.#attach(stream)
    openWriters.add(this)
  }

  /** Number of lines lost to a full buffer or a failed stream. */
  get dropped(): number {
    return this.#dropped
  }

  /** Queues a line, which includes its line ending. Returns false if the line was dropped. */
  write(line: string): boolean {
    if (this.#isBroken || this.#stream.writableLength > this.maxBufferedBytes) {
      this.#dropped += 1
      return false
    }
    this.#batch += line
    if (this.#batch.length > MAX_BATCH_LENGTH) this.flush()
    else this.#timer ??= setTimeout(this.flush, BATCH_DELAY_MS)
    return true
  }

  /** Passes all batched lines to the stream. */
  readonly flush = (): void => {
    clearTimeout(this.#timer)
    this.#timer = undefined
    const lines = this.#batch
    this.#batch = ''
    if (lines !== '' && !this.#isBroken) this.#stream.write(lines)
  }

  /** Flushes and stops flushing on process exit; leaves the stream open. */
  release(): void {
    this.flush()
    openWriters.delete(this)
  }

  /** Flushes all lines and closes the stream. */
  close(): Promise<void> {
    this.release()
    clearTimeout(this.#reopenTimer)
    return new Promise((resolve) => {
      if (this.#isBroken) {
        resolve()
        return
      }
      this.#stream.once('error', () => {
        resolve()
      })
      this.#stream.end(resolve)
    })
  }

  #attach(stream: Writable): void {
    this.#stream = stream
    this.#isBroken = false
    stream.on('error', () => {
      this.#isBroken = true
      this.#reopenLater()
    })
  }

  #reopenLater(): void {
    const { reopen } = this
    if (reopen === undefined) return
    this.#reopenTimer ??= setTimeout(() => {
      this.#reopenTimer = undefined
      this.#attach(reopen())
    }, REOPEN_DELAY_MS)
  }
}
