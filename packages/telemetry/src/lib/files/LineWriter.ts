import type { Writable } from 'node:stream'

/** Bytes that may wait for a slow disk before lines are dropped. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024
/**
 * Lines that come within this are written together, in milliseconds: a leader writes some 500 a
 * second, and each write is a call of the system. A process that is killed loses as much of its log.
 */
const GATHER_MS = 20
/** More characters than these are written at once. */
const MAX_GATHERED = 64 * 1024

/** Whatever ends the process, the last lines tell why. */
const openWriters = new Set<LineWriter>()
process.once('exit', () => {
  for (const writer of openWriters) writer.flush()
})

/**
 * Writes lines to a stream without ever waiting: what does not fit into the buffer is dropped.
 *
 * @internal
 */
export class LineWriter {
  #dropped = 0
  #isBroken = false
  #gathered = ''
  #timer: NodeJS.Timeout | undefined

  constructor(
    private readonly stream: Writable,
    private readonly maxBufferedBytes = MAX_BUFFERED_BYTES,
  ) {
    stream.on('error', () => {
      this.#isBroken = true
    })
    openWriters.add(this)
  }

  /** Lines lost to a full buffer or to a stream that failed. */
  get dropped(): number {
    return this.#dropped
  }

  /** Takes a line with its end; false when it was dropped. */
  write(line: string): boolean {
    if (this.#isBroken || this.stream.writableLength > this.maxBufferedBytes) {
      this.#dropped += 1
      return false
    }
    this.#gathered += line
    if (this.#gathered.length > MAX_GATHERED) this.flush()
    else this.#timer ??= setTimeout(this.flush, GATHER_MS)
    return true
  }

  /** Hands all lines to the stream. */
  readonly flush = (): void => {
    clearTimeout(this.#timer)
    this.#timer = undefined
    const lines = this.#gathered
    this.#gathered = ''
    if (lines !== '' && !this.#isBroken) this.stream.write(lines)
  }

  /** Hands all lines to the stream, and leaves it open. */
  release(): void {
    this.flush()
    openWriters.delete(this)
  }

  /** Writes out what is buffered, and closes the stream. */
  close(): Promise<void> {
    this.release()
    return new Promise((resolve) => {
      if (this.#isBroken) {
        resolve()
        return
      }
      this.stream.once('error', () => {
        resolve()
      })
      this.stream.end(resolve)
    })
  }
}
