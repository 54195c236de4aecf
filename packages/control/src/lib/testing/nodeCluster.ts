import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { EnvelopeSchema } from '@cherryhitch/protocol'
import type { Envelope, EnvelopeBody } from '@cherryhitch/protocol'
import { MemoryDisk } from '@cherryhitch/storage'
import { Effect, Exit, Scope } from 'effect'
import type { ControlNode } from '../node/ControlNode'
import type { ControlNodeOptions } from '../node/ControlNodeOptions'
import { startControlNode } from '../node/startControlNode'

/** Short intervals and timeouts, so that tests run quickly. */
export const quickTiming = {
  voterTiming: {
    heartbeatMs: 20,
    electionMinMs: 100,
    electionMaxMs: 200,
    startupElectionMaxMs: 140,
    resendMs: 50,
    replaceSilentMs: 400,
    settingsLeaseMs: 300,
    noticeResendMs: 50,
    confirmBatchMs: 20,
  },
  clientTiming: {
    attemptMs: 80,
    retryMs: 20,
    pollMs: 100,
    settingsLeaseMs: 300,
    proposalTimeoutMs: 3_000,
    claimTimeoutMs: 1_500,
  },
  tickMs: 5,
}

interface RunningNode {
  readonly node: ControlNode
  readonly scope: Scope.Closeable
  readonly boot: number
}

/** Control nodes connected by in-memory links, for tests and benchmarks. */
export class NodeCluster {
  readonly disks = new Map<string, MemoryDisk>()
  readonly lines: string[] = []
  /** Bytes and messages that were sent, also over cut links; bytes only if messages are encoded. */
  sentBytes = 0
  sentMessages = 0
  /** Links that drop all messages, as `from>to`. */
  readonly cutLinks = new Set<string>()
  /** Changes the content of a message on its way, such as to that of another build. */
  changeMessage: ((body: EnvelopeBody) => void) | undefined
  readonly #nodes = new Map<string, RunningNode>()
  readonly #voters: readonly string[]
  readonly #options: Partial<ControlNodeOptions>
  readonly #encodes: boolean

  constructor(
    voters: readonly string[],
    options: Partial<ControlNodeOptions> = quickTiming,
    encodes = false,
  ) {
    this.#voters = voters
    this.#options = options
    this.#encodes = encodes
  }

  /** Starts a node; the configured voters get a disk, the others follow without one. */
  async start(instance: string, options: Partial<ControlNodeOptions> = {}): Promise<ControlNode> {
    const boot = (this.#nodes.get(instance)?.boot ?? 0) + 1
    const disk = this.#diskOf(instance)
    const scope = Scope.makeUnsafe()
    const start = startControlNode({
      instance,
      boot,
      zone: 'a',
      voters: this.#voters,
      autoInit: { clusterId: 'test' },
      ...(disk && { disk }),
      send: (to, envelope) => {
        this.#deliver(instance, boot, to, envelope)
      },
      log: (line) => this.lines.push(`${instance}: ${line}`),
      onSettings: () => undefined,
      ...this.#options,
      ...options,
    })
    const node = await Effect.runPromise(Effect.provideService(start, Scope.Scope, scope))
    this.#nodes.set(instance, { node, scope, boot })
    return node
  }

  /** Stops a node; its disk keeps only what was synced. */
  async stop(instance: string): Promise<void> {
    const running = this.#nodes.get(instance)
    if (running === undefined) return
    await Effect.runPromise(Scope.close(running.scope, Exit.void))
    this.disks.get(instance)?.crash()
  }

  async stopAll(): Promise<void> {
    for (const instance of this.#nodes.keys()) await this.stop(instance)
  }

  node(instance: string): ControlNode {
    const running = this.#nodes.get(instance)
    if (running === undefined) throw new Error(`${instance} was not started`)
    return running.node
  }

  /** Cuts or restores all links from the first instances to the second ones. */
  setCut(from: readonly string[], to: readonly string[], cut: boolean): void {
    for (const link of from.flatMap((one) => to.map((other) => `${one}>${other}`))) {
      if (cut) this.cutLinks.add(link)
      else this.cutLinks.delete(link)
    }
  }

  /** Cuts or restores all links between two groups of instances, in both directions. */
  setCutBothWays(some: readonly string[], others: readonly string[], cut: boolean): void {
    this.setCut(some, others, cut)
    this.setCut(others, some, cut)
  }

  #diskOf(instance: string): MemoryDisk | undefined {
    if (!this.#voters.includes(instance)) return undefined
    const disk = this.disks.get(instance) ?? new MemoryDisk({ seed: this.disks.size + 1 })
    this.disks.set(instance, disk)
    return disk
  }

  #deliver(from: string, boot: number, to: string, envelope: Envelope): void {
    let carried = envelope
    if (this.#encodes) {
      const bytes = toBinary(EnvelopeSchema, envelope)
      this.sentBytes += bytes.length
      carried = fromBinary(EnvelopeSchema, bytes)
    }
    this.sentMessages++
    if (this.cutLinks.has(`${from}>${to}`)) return
    const { case: name } = carried.body
    if (name === undefined) return
    this.changeMessage?.(carried.body)
    this.#nodes.get(to)?.node.receive(from, boot, carried.body)
  }
}

/** Waits until the condition holds; fails after a limit far above the time that it should take. */
export async function waitUntil(condition: () => boolean, what: string): Promise<void> {
  const limit = Date.now() + 10_000
  while (!condition()) {
    if (Date.now() > limit) throw new Error(`timed out waiting until ${what}`)
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}
