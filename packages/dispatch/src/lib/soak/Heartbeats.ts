import { NoticeState } from '@cherryhitch/protocol'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'
import type { SimulatedEndpoint } from './SimulatedEndpoint'

/** Interface of the simulation to the heartbeats. @internal */
export interface HeartbeatsWorld {
  readonly instances: number
  readonly endpoints: readonly SimulatedEndpoint[]
  readonly now: () => number
  readonly machine: (instance: number) => DispatchMachine | undefined
  readonly tell: (instance: number, event: DispatchEvent) => void
  /** Whether messages of the endpoints of a zone arrive at an instance. */
  readonly hears: (instance: number, zone: string) => boolean
  /** Called when an endpoint has announced that it leaves. */
  readonly onLeaving: (endpoint: SimulatedEndpoint) => void
}

/** Interval of the notices of an endpoint, in milliseconds. @internal */
export const HEARTBEAT_MS = 1_500

/** The notices of endpoints to dispatching instances. @internal */
export class Heartbeats {
  #dueAt = 0

  constructor(private readonly world: HeartbeatsWorld) {}

  /** Sends a notice of each endpoint to all instances that know it. */
  tick(): void {
    const now = this.world.now()
    if (now < this.#dueAt) return
    this.#dueAt = now + HEARTBEAT_MS
    for (const endpoint of this.world.endpoints) this.announce(endpoint)
  }

  announce(endpoint: SimulatedEndpoint): void {
    const notice = endpoint.notice()
    for (let i = 0; i < this.world.instances; i++) {
      const isKnown = this.world.machine(i)?.hasEndpoint(notice.endpoint) === true
      // A leave notice goes to all instances before it is acknowledged.
      if (!isKnown && notice.state === NoticeState.SERVING) continue
      if (!this.world.hears(i, notice.zone)) continue
      this.world.tell(i, { kind: DispatchEventKind.Notice, notice })
    }
    if (notice.state === NoticeState.LEAVING) this.world.onLeaving(endpoint)
  }
}
