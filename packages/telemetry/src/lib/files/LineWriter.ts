import type { Writable } from 'node:stream'

/** Bytes that may wait for a slow disk before lines are dropped. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024

/**
 * Writes lines to a stream without ever waiting: what does not fit into the buffer is dropped.
 *
 * @internal
 */
export class LineWriter {
  #dropped = 0
  #isBroken = false

  constructor(
    private readonly stream: Writable,
    private readonly maxBufferedBytes = MAX_BUFFERED_BYTES,
  ) {
    stream.on('error', () => {
      this.#isBroken = true
    })
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
    this.stream.write(line)
    return true
  }

  /** Writes out what is buffered, and closes the stream. */
  close(): Promise<void> {
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
