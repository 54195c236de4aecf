import { create } from '@bufbuild/protobuf'
import { ReadOpenJobsSchema } from '@cherryhitch/protocol'
import type { EndpointNotice, OpenJobs } from '@cherryhitch/protocol'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'
import { WAY_MS } from './OrderTransport'

/** Interface of the simulation to the messages between instances. @internal */
export interface PeersWorld {
  readonly instances: number
  readonly random: () => number
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  readonly machine: (instance: number) => DispatchMachine | undefined
  readonly tell: (instance: number, event: DispatchEvent) => void
  readonly isUp: (instance: number) => boolean
  readonly isCutFromQuorum: (instance: number) => boolean
  /** Whether messages from one instance arrive at another. */
  readonly isLinked: (from: number, to: number) => boolean
  /** Whether a process has run long enough to have got a notice from every endpoint. */
  readonly hasWholeDirectory: (instance: number) => boolean
}

/** Interval at which the other dispatchers read the open jobs of the leader. */
const OPEN_JOBS_INTERVAL_MS = 100

/** Messages between dispatching instances. @internal */
export class SimulatedPeers {
  #openJobsDueAt = 0

  constructor(private readonly world: PeersWorld) {}

  tellNotice(instance: number, notice: EndpointNotice): void {
    this.world.tell(instance, { kind: DispatchEventKind.Notice, notice })
  }

  tellOthers(from: number, event: DispatchEvent): void {
    this.world.after(WAY_MS, () => {
      for (const i of this.#peersOf(from)) this.world.tell(i, event)
    })
  }

  spread(from: number, notice: EndpointNotice): void {
    if (this.world.isCutFromQuorum(from)) return
    this.tellOthers(from, { kind: DispatchEventKind.Notice, notice })
  }

  /** Sends the endpoints and losses that one instance knows to another one. */
  tellNotices(from: number, to: number): void {
    const machine = this.world.machine(from)
    const now = this.world.now()
    if (machine === undefined) return
    const losses = machine.losses(now)
    this.world.tell(to, { kind: DispatchEventKind.EndpointLosses, losses })
    for (const notice of machine.notices(now)) this.tellNotice(to, notice)
  }

  /** The other instances read the open jobs of the leader, if that is due. */
  readOpenJobs(leader: number): void {
    if (this.world.now() < this.#openJobsDueAt) return
    this.#openJobsDueAt = this.world.now() + OPEN_JOBS_INTERVAL_MS
    for (const i of this.#peersOf(leader)) {
      if (this.world.isUp(i) && !this.world.isCutFromQuorum(i)) this.#askForOpenJobs(i, leader)
    }
  }

  #askForOpenJobs(from: number, leader: number): void {
    if (!this.world.isLinked(from, leader)) return
    const req = create(ReadOpenJobsSchema, { askedAt: this.world.now() })
    this.world.after(WAY_MS, () => {
      const event = { kind: DispatchEventKind.ReadOpenJobs, from: `d${from}`, req } as const
      this.world.tell(leader, event)
    })
  }

  /** A leader answers such a request. */
  sendOpenJobs(leader: number, to: string, openJobs: OpenJobs): void {
    const asking = Number(to.slice(1))
    if (!this.world.isLinked(leader, asking)) return
    this.world.after(WAY_MS, () => {
      this.world.tell(asking, { kind: DispatchEventKind.OpenJobs, openJobs })
    })
  }

  tellAllNotices(to: number): void {
    for (const i of this.#peersOf(to)) this.tellNotices(i, to)
  }

  /**
   * Sends the new leader the directory of another instance, chosen at random, with which it forms a
   * majority.
   */
  readDirectories(leader: number, term: number): void {
    const others = this.#peersOf(leader)
    const asked = others[Math.floor(this.world.random() * others.length)]
    if (asked !== undefined) this.tellNotices(asked, leader)
    const majority = asked === undefined ? [leader] : [leader, asked]
    if (2 * majority.length <= this.world.instances) return
    if (!majority.every((i) => this.world.hasWholeDirectory(i))) return
    this.world.tell(leader, { kind: DispatchEventKind.DirectoryComplete, term })
  }

  #peersOf(instance: number): readonly number[] {
    const all = Array.from({ length: this.world.instances }, (_, i) => i)
    return all.filter((i) => i !== instance && this.world.isLinked(instance, i))
  }
}
