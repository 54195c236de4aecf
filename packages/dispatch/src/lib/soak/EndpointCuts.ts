/** Broken paths between instances and endpoints. @internal */
export class EndpointCuts {
  readonly #cuts = new Set<string>()

  constructor(private readonly after: (ms: number, run: () => void) => void) {}

  /** Breaks the path from an instance to an endpoint for some time. */
  add(instance: string, endpoint: string, forMs: number): void {
    const path = pathOf(instance, endpoint)
    this.#cuts.add(path)
    this.after(forMs, () => {
      this.#cuts.delete(path)
    })
  }

  has(instance: string, endpoint: string): boolean {
    return this.#cuts.has(pathOf(instance, endpoint))
  }
}

function pathOf(instance: string, endpoint: string): string {
  return `${instance}>${endpoint}`
}
