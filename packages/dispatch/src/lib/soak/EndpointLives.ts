import { create } from '@bufbuild/protobuf'
import { EndpointNoticeSchema, NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import type { AddedEndpoint } from './DispatchWorldOptions'
import type { SimulatedEndpoint } from './SimulatedEndpoint'
import { DRAIN_MS } from './StartChecks'

/** What the lives of endpoints need of the run around them. @internal */
export interface LivesWorld {
  readonly endpoints: SimulatedEndpoint[]
  readonly random: () => number
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  /** Whether a task takes down each endpoint that starts it. */
  readonly isFatal: (task: string) => boolean
  /** Whether an endpoint that starts again has the id that it had. */
  readonly keepsIds: boolean
  readonly add: (id: string, place: AddedEndpoint) => void
  /** An endpoint sends its next notice. */
  readonly announce: (endpoint: SimulatedEndpoint) => void
  /** Tells each instance, or one that is drawn. */
  readonly tellAll: (notice: EndpointNotice) => void
  readonly tellOne: (notice: EndpointNotice) => void
  readonly report: (violation: string) => void
}

/** An endpoint is lost so soon after it has started a fatal task, in milliseconds. */
const CRASH_MS = 5
/** No task is started again once so many endpoints were lost under it. */
const MOST_CRASHES = 3
/** How long an endpoint is gone after a crash, in milliseconds. */
const LEAST_DOWN_MS = 1_500
const MOST_DOWN_MS = 4_000
/** A notice may come so late, in milliseconds. */
const MOST_NOTICE_DELAY_MS = 4_000
/** Share of the starts before which the endpoint's time of day was set back. */
const SET_BACK_SHARE = 0.1
/** Time of day at the start of a run. */
const EPOCH_MS = 1_700_000_000_000

/** Endpoints that crash or leave, and come back as another life at the same address. @internal */
export class EndpointLives {
  /** Endpoints that were lost under each task. */
  readonly crashes = new Map<string, number>()

  constructor(private readonly world: LivesWorld) {}

  /** Time of day at the start of a life that begins now. */
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

  /** The endpoint is gone with all that runs there, and is back after a while. */
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

  /** The same; its last word may come when its next life is there. */
  crashWithLateNotice(endpoint: SimulatedEndpoint, downMs: number): void {
    const { after, random, tellOne } = this.world
    this.crash(endpoint, downMs)
    const notice = endpoint.notice()
    after(random() * MOST_NOTICE_DELAY_MS, () => {
      tellOne(notice)
    })
  }

  /** An endpoint says that it leaves, serves on for a while, says goodbye and starts again later. */
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

  /** A goodbye names the endpoint by its id alone, and may come late. */
  #sayGoodbye({ options: { id } }: SimulatedEndpoint): void {
    const { after, random, tellAll } = this.world
    const sequence = Number.MAX_SAFE_INTEGER
    const fields = { endpoint: id, machine: id, sequence, state: NoticeState.GONE }
    after(random() * MOST_NOTICE_DELAY_MS, () => {
      tellAll(create(EndpointNoticeSchema, fields))
    })
  }

  #revive({ options: { id, address, rack, startedAt } }: SimulatedEndpoint): void {
    const { keepsIds, add } = this.world
    if (keepsIds)
      add(id, { address, rack, startedAt: this.#drawStart(startedAt), isHeardByOne: true })
    else add(`${id}+`, { address, rack })
  }

  #drawStart(before: number): number {
    const isSetBack = this.world.random() < SET_BACK_SHARE
    return isSetBack ? before - 1 : Math.max(this.timeOfDay, before + 1)
  }

  #drawDownMs(): number {
    return LEAST_DOWN_MS + this.world.random() * (MOST_DOWN_MS - LEAST_DOWN_MS)
  }
}
