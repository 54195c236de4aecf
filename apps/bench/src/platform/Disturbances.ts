import { setTimeout as sleep } from 'node:timers/promises'
import type { SeededRandom } from '@cherryhitch/stand-ins'
import type { OperatorTraffic } from './OperatorTraffic'
import type { PlatformCluster } from './PlatformCluster'
import { NodeRole } from './PlatformNode'
import type { PlatformNode } from './PlatformNode'
import type { RunRecord } from './RunRecord'
import type { StarvationWatch } from './StarvationWatch'
import { CORE, STARVED } from './checkConfig'
import type { DiskState } from './diskState'

/** What a run's disturbances are drawn from. */
export enum Profile {
  Disks = 'disks',
  FullDisks = 'full disks',
  Processes = 'processes',
  Links = 'links',
  All = 'all',
}

export enum FinalFault {
  KillAll = 'all killed',
  PowerOfAll = 'all without power',
  DiskOfOne = 'one disk lost',
  DiskOfOnePowerOfRest = 'one disk lost, the rest without power',
}

interface Kind {
  readonly name: string
  readonly profile: Profile
  readonly weight: number
  readonly run: () => Promise<void>
}

/** A lost disk counts as lost until so long after the start, with a processor for all. */
const CATCH_UP_MS = 4_000
const ACK_WAIT_MS = 3_000
const POLL_MS = 100
/** How long a final fault waits until no disk counts as lost. */
const FINAL_WAIT_MS = 60_000
const MAX_REPLACEMENTS = 1

/** Draws disturbances within the losses that the platform allows, and carries them out. */
export class Disturbances {
  isOver = false
  private readonly open = new Set<Promise<void>>()
  private isDiskLost = false
  private replacements = 0

  constructor(
    private readonly cluster: PlatformCluster,
    private readonly record: RunRecord,
    private readonly random: SeededRandom,
    private readonly operator: OperatorTraffic,
    private readonly watch: StarvationWatch,
  ) {}

  /** Begins disturbances, in series and overlapping, until it is over. */
  async run(profile: Profile): Promise<void> {
    const all = this.kinds()
    const kinds = all.filter((each) => profile === Profile.All || each.profile === profile)
    while (!this.isOver) {
      const kind = this.random.pickWeighted(kinds)
      const running = kind.run().finally(() => this.open.delete(running))
      this.open.add(running)
      const isSeries = this.random.chance(0.6)
      if (isSeries) await running
      // Now and then long enough that a lost disk no longer counts.
      const gapMs = this.random.chance(0.25)
        ? this.random.between(4_500, 6_500)
        : this.random.between(100, 2_500)
      await sleep(gapMs)
    }
    await Promise.all(this.open)
  }

  /** Right after an acknowledgement; resolves once all are back. */
  async runFinal(fault: FinalFault): Promise<void> {
    const losesDisk = fault === FinalFault.DiskOfOne || fault === FinalFault.DiskOfOnePowerOfRest
    const untilMs = this.record.now() + FINAL_WAIT_MS
    while (losesDisk && this.isDiskLost && this.record.now() < untilMs) await sleep(POLL_MS)
    const isDiskSpared = losesDisk && this.isDiskLost
    await this.afterAck(this.random.between(0, 400))
    const lost = this.random.chance(0.5) ? this.pickLeader() : this.pickDispatcher()
    const actual = isDiskSpared ? FinalFault.PowerOfAll : fault
    this.record.add(`final: ${actual}`, lost?.name)
    await this.disturbed([...this.cluster.nodes], () => this.strike(actual, lost))
  }

  private async strike(fault: FinalFault, lost: PlatformNode | undefined): Promise<void> {
    const { nodes } = this.cluster
    const hit = fault === FinalFault.DiskOfOne ? nodes.filter((node) => node === lost) : [...nodes]
    const downMs = this.random.between(200, 1_000)
    await Promise.all(
      hit.map(async (node) => {
        if (fault === FinalFault.KillAll) await this.cluster.end(node, 'SIGKILL')
        else if (fault === FinalFault.PowerOfAll || node !== lost) await this.cluster.cutPower(node)
        else await this.cluster.loseDisk(node)
      }),
    )
    await sleep(downMs)
    for (const node of hit) this.cluster.start(node)
  }

  private kinds(): readonly Kind[] {
    const { Disks, FullDisks, Processes, Links } = Profile
    const stall = { isStalled: true }
    const kind = (profile: Profile, name: string, weight: number, run: () => Promise<void>) => {
      return { profile, name, weight, run }
    }
    const entry = (): PlatformNode | undefined => this.pickEntry()
    const any = (): PlatformNode | undefined => this.pickAny()
    return [
      kind(Disks, 'disk full', 2, () => this.harmDisk('full', { isFull: true })),
      kind(FullDisks, 'disk full', 4, () => this.harmDisk('full', { isFull: true })),
      kind(FullDisks, 'disk lost', 1, () => this.loseDisk()),
      kind(Disks, 'disk stalled', 1, () => this.harmDisk('stalled', stall)),
      kind(Disks, 'disk slow', 1, () => this.harmDisk('slow', { syncMs: 250 })),
      kind(Disks, 'syncs fail', 1, () => this.harmDisk('failing syncs', { failsSyncs: true })),
      kind(Disks, 'disk lost', 4, () => this.loseDisk()),
      kind(Disks, 'replaced', 0.7, () => this.replace()),
      kind(Disks, 'power', 2, () => this.cutPowerOf([this.pickDispatcher()])),
      kind(Disks, 'power of all', 1, () => this.cutPowerOf(this.cluster.dispatchers)),
      kind(Processes, 'killed', 3, () => this.restart([any()], 'SIGKILL')),
      kind(Processes, 'all killed', 1, () => this.restart(this.cluster.dispatchers, 'SIGKILL')),
      kind(Processes, 'entry killed', 1, () => this.restart([entry()], 'SIGKILL')),
      kind(Processes, 'stopped', 2, () => this.restart([any()], 'SIGTERM')),
      kind(Processes, 'rolling restart', 1, () => this.restartInTurn()),
      kind(Processes, 'frozen', 5, () => this.freeze(any())),
      kind(Processes, 'entry frozen', 1, () => this.freeze(entry())),
      kind(Processes, 'leader frozen', 3, () => this.freeze(this.pickLeader())),
      kind(Links, 'cut off', 3, () => this.cutOff(true, true)),
      kind(Links, 'cut one way', 2, () => this.cutOff(true, false)),
      kind(Links, 'not heard', 2, () => this.cutOff(false, true)),
      kind(Links, 'zone cut off', 2, () => this.cutZone()),
      kind(Links, 'two cut', 2, () => this.cutPair()),
      kind(Links, 'reset', 1, () => this.touchLinks('reset')),
      kind(Links, 'silent', 2, () => this.touchLinks('silence')),
    ]
  }

  private async harmDisk(name: string, state: Partial<DiskState>): Promise<void> {
    const node = this.pickDispatcher()
    const ms = this.random.logBetween(100, 5_000)
    if (node === undefined) return
    await this.during(`disk ${name}`, node, ms, () => {
      this.cluster.setDisk(node, state)
      return () => {
        this.cluster.setDisk(node, {})
      }
    })
  }

  private async loseDisk(): Promise<void> {
    const node = this.pickDispatcher()
    const downMs = this.random.between(200, 2_000)
    if (node === undefined || this.isDiskLost) return
    this.isDiskLost = true
    await this.afterAck(this.random.between(0, 20))
    if (node.isBusy) {
      this.isDiskLost = false
      return
    }
    node.isBusy = true
    this.record.add('disk lost', node.name)
    await this.disturbed([node], async () => {
      await this.cluster.loseDisk(node)
      await sleep(downMs)
      this.cluster.start(node)
    })
    void this.awaitCatchUp()
  }

  /** An instance gives way to an empty one at another address, before or after it is gone. */
  private async replace(): Promise<void> {
    const node = this.pickDispatcher()
    const isPlanned = this.random.chance(0.5)
    const gapMs = this.random.between(200, 2_000)
    if (node === undefined || this.isDiskLost) return
    if (this.replacements === MAX_REPLACEMENTS) return
    this.replacements++
    this.isDiskLost = true
    node.isBusy = true
    this.record.add(isPlanned ? 'replaced, planned' : 'replaced', node.name)
    await this.disturbed([node], async () => {
      if (!isPlanned) await this.cluster.end(node, 'SIGKILL')
      const next = await this.cluster.addDispatcher(node.zone)
      this.record.note(`${next.name} takes the place of ${node.name}`)
      await sleep(gapMs)
      if (isPlanned) await this.cluster.end(node, 'SIGTERM')
      this.cluster.remove(node)
    })
    void this.awaitCatchUp()
  }

  /** Waits until the started instance has had its time, with all others at work. */
  private async awaitCatchUp(): Promise<void> {
    let fromMs = this.watch.servedMs
    while (this.watch.servedMs - fromMs < CATCH_UP_MS) {
      await sleep(POLL_MS)
      const now = this.record.now()
      if (!this.record.isCalm([CORE, STARVED], now - 2 * POLL_MS, now)) fromMs = this.watch.servedMs
    }
    this.isDiskLost = false
  }

  private async cutPowerOf(picked: readonly (PlatformNode | undefined)[]): Promise<void> {
    const downMs = this.random.between(200, 3_000)
    const nodes = reserve(picked)
    if (nodes.length === 0) return
    this.record.add(nodes.length > 1 ? 'power of all' : 'power', namesOf(nodes))
    await this.disturbed(nodes, async () => {
      await Promise.all(nodes.map((node) => this.cluster.cutPower(node)))
      await sleep(downMs)
      for (const node of nodes) this.cluster.start(node)
    })
  }

  private async restart(
    picked: readonly (PlatformNode | undefined)[],
    signal: 'SIGTERM' | 'SIGKILL',
  ): Promise<void> {
    const downMs = this.random.between(100, 1_000)
    const nodes = reserve(picked)
    if (nodes.length === 0) return
    this.record.add(nodes.length > 1 ? `${signal} of all` : signal, namesOf(nodes))
    await this.disturbed(nodes, async () => {
      await Promise.all(nodes.map((node) => this.cluster.end(node, signal)))
      await sleep(downMs)
      for (const node of nodes) this.cluster.start(node)
    })
  }

  private async restartInTurn(): Promise<void> {
    for (const node of this.cluster.dispatchers) {
      await this.restart([node], 'SIGTERM')
      await sleep(this.random.between(500, 3_000))
    }
  }

  private async freeze(node: PlatformNode | undefined): Promise<void> {
    const ms = this.random.between(500, 6_000)
    if (node?.child === undefined || node.isBusy) return
    const { child } = node
    node.isBusy = true
    await this.during('frozen', node, ms, () => {
      child.kill('SIGSTOP')
      return () => {
        child.kill('SIGCONT')
        if (node.child === child) node.isBusy = false
      }
    })
  }

  private async cutOff(isSending: boolean, isHearing: boolean): Promise<void> {
    const node = this.random.chance(0.3) ? this.pickLeader() : this.pickAny()
    if (node === undefined) return
    const others = this.cluster.nodes.filter((other) => other !== node)
    const name = isSending && isHearing ? 'cut off' : isSending ? 'cut one way' : 'not heard'
    await this.cut(name, node, [
      ...(isSending ? others.map((other) => [node, other] as const) : []),
      ...(isHearing ? others.map((other) => [other, node] as const) : []),
    ])
  }

  private async cutZone(): Promise<void> {
    const node = this.pickDispatcher()
    if (node === undefined) return
    const { nodes } = this.cluster
    const inside = nodes.filter(({ zone }) => zone === node.zone)
    const outside = nodes.filter(({ zone }) => zone !== node.zone)
    const pairs = inside.flatMap((one) => outside.map((other) => [one, other] as const))
    await this.cut('zone cut off', node, bothWays(pairs))
  }

  private async cutPair(): Promise<void> {
    const node = this.pickDispatcher()
    const others = this.cluster.dispatchers.filter((each) => each !== node)
    if (node === undefined || others.length === 0) return
    await this.cut('two cut', node, bothWays([[node, this.random.pick(others)]]))
  }

  private async cut(
    name: string,
    node: PlatformNode,
    directions: readonly (readonly [PlatformNode, PlatformNode])[],
  ): Promise<void> {
    const ms = this.random.between(300, 6_000)
    // Any of the machines at its ends may be out of touch.
    const touched = [...new Set(directions.flat())]
    await this.during(name, node, ms, () => this.cluster.links.cut(directions), touched)
  }

  private async touchLinks(how: 'reset' | 'silence'): Promise<void> {
    const nodes = this.random.chance(0.5) ? [...this.cluster.nodes] : [this.pickAny()]
    const picked = nodes.flatMap((node) => (node === undefined ? [] : [node]))
    this.record.add(`links ${how}`, namesOf(picked))
    await this.disturbed([...this.cluster.nodes], () => {
      this.cluster.links[how](picked)
      return Promise.resolve()
    })
  }

  private async during(
    name: string,
    node: PlatformNode,
    ms: number,
    begin: () => () => void,
    touched: readonly PlatformNode[] = [node],
  ): Promise<void> {
    this.record.add(name, `${node.name} for ${Math.round(ms)} ms`)
    await this.disturbed(touched, async () => {
      const end = begin()
      await sleep(ms)
      end()
    })
    this.record.note(`${name} ${node.name} is over`)
  }

  private async disturbed(nodes: readonly PlatformNode[], run: () => Promise<void>): Promise<void> {
    const hasDispatcher = nodes.some(({ role }) => role === NodeRole.Dispatch)
    const names = nodes.map(({ name }) => name)
    const end = this.record.disturb(...names, ...(hasDispatcher ? [CORE] : []))
    try {
      await run()
    } finally {
      end()
    }
  }

  private async afterAck(delayMs: number): Promise<void> {
    await Promise.race([this.operator.nextAck(), sleep(ACK_WAIT_MS)])
    await sleep(delayMs)
  }

  private pickAny(): PlatformNode | undefined {
    return this.random.chance(0.7) ? this.pickDispatcher() : this.pickEntry()
  }

  private pickEntry(): PlatformNode | undefined {
    return this.pickOf(this.cluster.entries)
  }

  private pickDispatcher(): PlatformNode | undefined {
    return this.random.chance(0.4) ? this.pickLeader() : this.pickOf(this.cluster.dispatchers)
  }

  private pickLeader(): PlatformNode | undefined {
    const leader = this.cluster.leader()
    return leader?.isBusy === true ? undefined : leader
  }

  private pickOf(nodes: readonly PlatformNode[]): PlatformNode | undefined {
    const free = nodes.filter(({ isBusy }) => !isBusy)
    return free.length === 0 ? undefined : this.random.pick(free)
  }
}

/** Keeps other disturbances of processes away from those that are free. */
function reserve(nodes: readonly (PlatformNode | undefined)[]): readonly PlatformNode[] {
  const free = nodes.flatMap((node) => (node === undefined || node.isBusy ? [] : [node]))
  for (const node of free) node.isBusy = true
  return free
}

function bothWays(
  pairs: readonly (readonly [PlatformNode, PlatformNode])[],
): readonly (readonly [PlatformNode, PlatformNode])[] {
  return pairs.flatMap(([one, other]) => [[one, other] as const, [other, one] as const])
}

function namesOf(nodes: readonly PlatformNode[]): string {
  return nodes.map(({ name }) => name).join(' ')
}
