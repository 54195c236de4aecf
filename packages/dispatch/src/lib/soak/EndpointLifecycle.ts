import { create } from '@bufbuild/protobuf'
import { EndpointNoticeSchema, NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import type { AddedEndpoint } from './DispatchSimulationOptions'
import type { SimulatedEndpoint } from './SimulatedEndpoint'
import { DRAIN_MS } from './StartChecks'

/** Interface of the simulation to the incarnations of its endpoints. @internal */
export interface EndpointLifecycleContext {
  readonly endpoints: SimulatedEndpoint[]
  readonly random: () => number
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  /** Whether a task crashes every endpoint that starts it. */
  readonly isFatal: (task: string) => boolean
  /** Whether an endpoint keeps its id when it restarts. */
  readonly keepsIds: boolean
  readonly add: (id: string, place: AddedEndpoint) => void
  /** Sends the next notice of an endpoint. */
  readonly announce: (endpoint: SimulatedEndpoint) => void
  /** Delivers a notice to all instances. */
  readonly tellAll: (notice: EndpointNotice) => void
  /** Delivers a notice to one random instance. */
  readonly tellOne: (notice: EndpointNotice) => void
  readonly report: (violation: string) => void
}

/** Delay between the start of a fatal task and the crash, in milliseconds. */
const CRASH_MS = 5
/** Number of endpoints lost under a task after which it must not be started again. */
const MOST_CRASHES = 3
/** Bounds of the time until an endpoint restarts after a crash, in milliseconds. */
const LEAST_DOWN_MS = 1_500
const MOST_DOWN_MS = 4_000
/** Longest delay of a notice, in milliseconds. */
const MOST_NOTICE_DELAY_MS = 4_000
/** Share of the restarts before which the endpoint's wall clock was set back. */
const SET_BACK_SHARE = 0.1
/** Wall clock time at the start of the simulation. */
const EPOCH_MS = 1_700_000_000_000

/** Crashes and drains endpoints, and restarts them at the same address. @internal */
export class EndpointLifecycle {
  /** Number of endpoints that were lost under each task. */
  readonly crashes = new Map<string, number>()

  constructor(private readonly world: EndpointLifecycleContext) {}

  /** Current wall clock time, as the start time of a new incarnation. */
  get timeOfDay(): number {
    return EPOCH_MS + Math.floor(this.world.now())
  }

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

  /** Crashes an endpoint with all its runs, and restarts it after a while. */
  crash(endpoint: SimulatedEndpoint, downMs = this.#drawDownMs()): void {
    const { endpoints, after } = this.world
    const at = endpoints.indexOf(endpoint)
    if (at < 0) return
    endpoints.splice(at, 1)
    endpoint.isGone = true
    after(downMs, () => {
      this.#revive(endpoint)
    })
  }

  /** Crashes an endpoint whose last notice may arrive after its next incarnation has started. */
  crashWithLateNotice(endpoint: SimulatedEndpoint, downMs: number): void {
    const { after, random, tellOne } = this.world
    this.crash(endpoint, downMs)
    const notice = endpoint.notice()
    after(random() * MOST_NOTICE_DELAY_MS, () => {
      tellOne(notice)
    })
  }

  /** Drains an endpoint: it sends a leave notice, serves for a while, stops and restarts later. */
  leave(endpoint: SimulatedEndpoint, downMs: number): void {
    if (endpoint.state !== NoticeState.SERVING) return
    const { after, random, announce } = this.world
    endpoint.state = NoticeState.LEAVING
    announce(endpoint)
    after(DRAIN_MS + random() * DRAIN_MS, () => {
      if (endpoint.isGone) return
      this.#sayGoodbye(endpoint)
      this.crashWithLateNotice(endpoint, downMs)
    })
  }

  /** Sends a notice that the endpoint is gone, which has only its id and may be delayed. */
  #sayGoodbye({ options: { id } }: SimulatedEndpoint): void {
    const { after, random, tellAll } = this.world
    const sequence = Number.MAX_SAFE_INTEGER
    const fields = { endpoint: id, machine: id, sequence, state: NoticeState.GONE }
    after(random() * MOST_NOTICE_DELAY_MS, () => {
      tellAll(create(EndpointNoticeSchema, fields))
    })
  }

  #revive({ options: { id, address, rack, zone, startedAt } }: SimulatedEndpoint): void {
    const { keepsIds, add } = this.world
    if (keepsIds)
      add(id, { address, rack, zone, startedAt: this.#drawStart(startedAt), isHeardByOne: true })
    else add(`${id}+`, { address, rack, zone })
  }

  #drawStart(before: number): number {
    const isSetBack = this.world.random() < SET_BACK_SHARE
    return isSetBack ? before - 1 : Math.max(this.timeOfDay, before + 1)
  }

  #drawDownMs(): number {
    return LEAST_DOWN_MS + this.world.random() * (MOST_DOWN_MS - LEAST_DOWN_MS)
  }
}
