/** Items pushed in by one side and awaited by the other; the only reader is the connection. */
export class BatchFeed<T> implements AsyncIterable<T> {
  #items: T[] = []
  #wake: ((result: IteratorResult<T>) => void) | undefined
  #ended = false

  push(item: T): void {
    if (this.#ended) return
    const wake = this.#wake
    this.#wake = undefined
    if (wake === undefined) this.#items.push(item)
    else wake({ done: false, value: item })
  }

  end(): void {
    this.#ended = true
    this.#items = []
    this.#wake?.({ done: true, value: undefined })
    this.#wake = undefined
  }

  [Symbol.asyncIterator](): AsyncIterator<T> {
    return {
      next: () => this.#next(),
      // The transport calls it when its stream fails, and takes the error from the result.
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
      this.#wake = resolve
    })
  }
}
