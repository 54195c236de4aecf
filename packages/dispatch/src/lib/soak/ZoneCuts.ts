/** Broken paths between availability zones, each in one direction. @internal */
export class ZoneCuts {
  /** Number of cuts that break each path. */
  readonly #cuts = new Map<string, number>()

  constructor(private readonly after: (ms: number, run: () => void) => void) {}

  /** Breaks the path from one zone to another for some time. */
  add(from: string, to: string, forMs: number): void {
    const path = pathOf(from, to)
    this.#cuts.set(path, (this.#cuts.get(path) ?? 0) + 1)
    this.after(forMs, () => {
      this.#cuts.set(path, (this.#cuts.get(path) ?? 0) - 1)
    })
  }

  reaches(from: string, to: string): boolean {
    return (this.#cuts.get(pathOf(from, to)) ?? 0) === 0
  }
}

function pathOf(from: string, to: string): string {
  return `${from}>${to}`
}
