/** Paths between instances and endpoints that are broken by other causes. @internal */
export interface OtherCuts {
  readonly reaches: (instance: string, endpoint: string) => boolean
  readonly hears: (instance: string, endpoint: string) => boolean
}

/** Broken paths between instances and endpoints. @internal */
export class EndpointCuts {
  readonly #cuts = new Set<string>()

  constructor(
    private readonly after: (ms: number, run: () => void) => void,
    private readonly others: OtherCuts,
  ) {}

  /** Breaks the path from an instance to an endpoint for some time. */
  add(instance: string, endpoint: string, forMs: number): void {
    const path = pathOf(instance, endpoint)
    this.#cuts.add(path)
    this.after(forMs, () => {
      this.#cuts.delete(path)
    })
  }

  /** Whether orders of an instance don't arrive at an endpoint. */
  has(instance: string, endpoint: string): boolean {
    const isReached = this.others.reaches(instance, endpoint)
    return !isReached || this.#cuts.has(pathOf(instance, endpoint))
  }

  /** Whether answers of an endpoint don't arrive at an instance. */
  hasBack(instance: string, endpoint: string): boolean {
    const isHeard = this.others.hears(instance, endpoint)
    return !isHeard || this.#cuts.has(pathOf(instance, endpoint))
  }
}

function pathOf(instance: string, endpoint: string): string {
  return `${instance}>${endpoint}`
}
