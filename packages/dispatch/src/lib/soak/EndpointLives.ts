import type { SimulatedEndpoint } from './SimulatedEndpoint'

/** What the lives of endpoints need of the run around them. @internal */
export interface LivesWorld {
  readonly endpoints: SimulatedEndpoint[]
  readonly after: (ms: number, run: () => void) => void
  /** Whether a task takes down each endpoint that starts it. */
  readonly isFatal: (task: string) => boolean
  /** How long an endpoint is gone after a crash, in milliseconds. */
  readonly drawDownMs: () => number
  /** Starts another life at the address of a lost one. */
  readonly revive: (lost: SimulatedEndpoint) => void
  readonly report: (violation: string) => void
}

/** An endpoint is lost so soon after it has started a fatal task, in milliseconds. */
const CRASH_MS = 5
/** No task is started again once so many endpoints were lost under it. */
const MOST_CRASHES = 3

/** Endpoints that crash, and come back as another life at the same address. @internal */
export class EndpointLives {
  /** Endpoints that were lost under each task. */
  readonly crashes = new Map<string, number>()

  constructor(private readonly world: LivesWorld) {}

  onStart(endpoint: SimulatedEndpoint, task: string): void {
    const crashes = this.crashes.get(task) ?? 0
    if (crashes >= MOST_CRASHES) {
      this.world.report(`${task} was started after ${crashes} endpoints were lost under it`)
    }
    if (!this.world.isFatal(task)) return
    this.world.after(CRASH_MS, () => {
      if (!endpoint.running.has(task)) return
      this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1)
      this.crash(endpoint)
    })
  }

  /** The endpoint is gone with all that runs there. */
  crash(endpoint: SimulatedEndpoint): void {
    const { endpoints, after, drawDownMs, revive } = this.world
    const at = endpoints.indexOf(endpoint)
    if (at < 0) return
    endpoints.splice(at, 1)
    endpoint.isGone = true
    after(drawDownMs(), () => {
      revive(endpoint)
    })
  }
}
