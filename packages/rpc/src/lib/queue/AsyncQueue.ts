/** An unbounded queue of items that a single reader consumes as an async iterable. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  #items: T[] = []
  #resolveNext: ((result: IteratorResult<T>) => void) | undefined
  #ended = false

  push(item: T): void {
    if (this.#ended) return
    const resolveNext = this.#resolveNext
    this.#resolveNext = undefined
    if (resolveNext === undefined) this.#items.push(item)
    else resolveNext({ done: false, value: item })
  }

  /** Ends the iteration; items that were not read are discarded. */
  end(): void {
    this.#ended = true
    this.#items = []
    this.#resolveNext?.({ done: true, value: undefined })
    this.#resolveNext = undefined
  }

  [Symbol.asyncIterator](): AsyncIterator<T> {
    return {
      next: () => this.#next(),
      // Called by the transport when its stream fails; it expects a rejection with the error.
      throw: (err: Error) => {
        this.end()
        return Promise.reject(err)
      },
    }
  }

  #next(): Promise<IteratorResult<T>> {
    const item = this.#items.shift()
    if (item !== undefined) return Promise.resolve({ done: false, value: item })
    if (this.#ended) return Promise.resolve({ done: true, value: undefined })
    return new Promise((resolve) => {
      this.#resolveNext = resolve
    })
  }
}
