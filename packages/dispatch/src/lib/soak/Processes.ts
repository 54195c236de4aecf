/** One process of a simulated instance. @internal */
export interface SimulatedProcess {
  /** Higher than that of the instance's earlier processes. */
  readonly boot: number
  readonly startedAt: number
}

/** Tracks the current process of each simulated instance. @internal */
export class Processes {
  readonly #processes: SimulatedProcess[]

  constructor(instances: number) {
    this.#processes = Array.from({ length: instances }, () => ({ boot: 1, startedAt: -Infinity }))
  }

  of(instance: number): SimulatedProcess {
    const process = this.#processes[instance]
    if (process === undefined) throw new Error(`no instance ${instance}`)
    return process
  }

  isUp(now: number, instance: number): boolean {
    return now >= this.of(instance).startedAt
  }

  /** Ends the current process at once; the next one starts at the given time. */
  restart(instance: number, startsAt: number): void {
    const { boot } = this.of(instance)
    this.#processes[instance] = { boot: boot + 1, startedAt: startsAt }
  }

  /** Wraps a function so that it does nothing once the instance's current process has ended. */
  bind<A extends readonly unknown[]>(
    instance: number,
    run: (...args: A) => void,
  ): (...args: A) => void {
    const process = this.of(instance)
    return (...args) => {
      if (this.of(instance) === process) run(...args)
    }
  }
}
