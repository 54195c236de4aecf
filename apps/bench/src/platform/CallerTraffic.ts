import http from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { standInCallHeaders, standInJobBody } from '@cherryhitch/platform'
import type { SeededRandom } from '@cherryhitch/stand-ins'
import type { OperatorTraffic } from './OperatorTraffic'
import { BASE_PREFIX } from './OperatorTraffic'
import type { PlatformCluster } from './PlatformCluster'
import type { RunRecord } from './RunRecord'
import { callHttp } from './callHttp'

/** How a call was handled, as far as it depends on the configuration. */
export enum Handling {
  /** Run by the service of the route. */
  Run = 'run',
  /** Answered without a run, by a route that is there. */
  Known = 'known',
  NoRoute = 'no route',
  /** Says nothing about the configuration. */
  Other = 'other',
}

export interface CallerRequest {
  readonly entry: string
  /** Changes with each start of the entry's process. */
  readonly incarnation: number
  readonly prefix: string
  readonly sentAtMs: number
  readonly endedAtMs: number
  readonly status: number
  readonly handling: Handling
  /** Service that ran it. */
  readonly service: string | undefined
}

const DEADLINE_MS = 1_500
/** Longer than the deadline, so that an answer is seen. */
const TIMEOUT_MS = 2_500
const MEAN_GAP_MS = 25
const NEVER_PREFIX = '/never/'

/** Sends jobs and reads of queues to all entries: on new, old, dropped and unknown routes. */
export class CallerTraffic {
  readonly requests: CallerRequest[] = []
  isOver = false
  private readonly services = new Map<string, string>()
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 32 })
  private lastId = 0

  constructor(
    private readonly cluster: PlatformCluster,
    private readonly record: RunRecord,
    private readonly random: SeededRandom,
    private readonly operator: OperatorTraffic,
  ) {}

  /** Notes that a service started a task. */
  noteRun(service: string, task: string): void {
    const [id = ''] = task.split('.')
    this.services.set(id, service)
  }

  async run(): Promise<void> {
    while (!this.isOver) {
      await sleep(this.random.exponential(MEAN_GAP_MS))
      void this.call()
    }
    this.agent.destroy()
  }

  private pickPrefix(): string {
    const { routes, dropped, forbidden } = this.operator
    const draw = this.random.next()
    if (draw < 0.3) return routes.at(-1)?.prefix ?? BASE_PREFIX
    if (draw < 0.5) return this.random.pick(routes).prefix
    if (draw < 0.7) return BASE_PREFIX
    if (draw < 0.85) return dropped.at(-this.random.integer(1, 4)) ?? NEVER_PREFIX
    return draw < 0.95 ? (forbidden.at(-1)?.prefix ?? NEVER_PREFIX) : NEVER_PREFIX
  }

  private async call(): Promise<void> {
    const { name, incarnation, ...node } = this.random.pick(this.cluster.entries)
    const prefix = this.pickPrefix()
    const isJob = this.random.chance(0.75)
    const id = (++this.lastId).toString(16).padStart(16, '0')
    const sentAtMs = this.record.now()
    const { status } = await callHttp({
      address: this.cluster.callersOf({ name, incarnation, ...node }),
      method: isJob ? 'POST' : 'GET',
      path: isJob ? `${prefix}${id}` : prefix,
      headers: standInCallHeaders(DEADLINE_MS),
      ...(isJob && { body: standInJobBody() }),
      ...(this.random.chance(0.6) && { agent: this.agent }),
      timeoutMs: TIMEOUT_MS,
    })
    const service = this.services.get(id)
    const handling = handlingOf(status, isJob, service)
    const endedAtMs = this.record.now()
    const request = { entry: name, incarnation, prefix, sentAtMs, endedAtMs, status }
    this.requests.push({ ...request, handling, service })
  }
}

function handlingOf(status: number, isJob: boolean, service: string | undefined): Handling {
  if (status === 404) return Handling.NoRoute
  if (status !== 200) return Handling.Other
  if (!isJob) return Handling.Known
  return service === undefined ? Handling.Other : Handling.Run
}
