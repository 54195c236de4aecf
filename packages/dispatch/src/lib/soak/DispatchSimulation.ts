import type { JobOutcome } from '@cherryhitch/protocol'
import { EventScheduler } from '@cherryhitch/runtime'
import { DispatchActionKind } from '../DispatchAction'
import type { DispatchAction } from '../DispatchAction'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchCounters } from '../DispatchCore'
import type { DispatchMachine } from '../DispatchMachine'
import { RelayEventKind } from '../relay/JobRelay'
import type {
  AddedEndpoint,
  DispatchSimulationOptions,
  SubmitOptions,
} from './DispatchSimulationOptions'
import { EndpointCuts } from './EndpointCuts'
import { EndpointLifecycle } from './EndpointLifecycle'
import { OrderTransport, WAY_MS } from './OrderTransport'
import { PayingLeader } from './PayingLeader'
import { makeSimulatedJob } from './makeSimulatedJob'
import { makeSimulatedMachine } from './makeSimulatedMachine'
import { Processes } from './Processes'
import { SimulatedOrderRouting } from './SimulatedOrderRouting'
import { InstantLeader } from './SimulatedLeader'
import type { SimulatedLeader } from './SimulatedLeader'
import { HOST, makeSimulatedRouting, SERVICE } from './simulatedRouting'
import { Heartbeats, HEARTBEAT_MS } from './Heartbeats'
import { ENTRY, SimulatedEntries } from './SimulatedEntries'
import { SimulatedPeers } from './SimulatedPeers'
import type { SimulatedZones } from './SimulatedZones'
import { StartChecks } from './StartChecks'
import { StoredDirectories } from './StoredDirectories'
import { SIMULATED_ZONES, ZoneDrains } from './ZoneDrains'
import { SimulatedEndpoint } from './SimulatedEndpoint'

const TICK_MS = 10
const MAX_LEASE_MS = 1_000
/**
 * Simulates dispatchers, an entry and endpoints on a virtual clock, with orders that are lost or
 * delayed. Checks that no task ever runs twice at the same time, and that no task of a job that was
 * refused as not run has ever run.
 *
 * @internal
 */
export class DispatchSimulation {
  readonly endpoints: SimulatedEndpoint[] = []
  readonly outcomes = new Map<string, JobOutcome>()
  /** Time of the last answer to each request, by request id. */
  readonly answeredAt = new Map<string, number>()
  readonly #checks = new StartChecks({
    endpoints: this.endpoints,
    outcomes: this.outcomes,
    now: () => this.now,
    keepsIds: () => this.options.keepsIds === true,
  })
  readonly violations = this.#checks.violations
  readonly startedTasks = this.#checks.startedTasks
  readonly #machines: DispatchMachine[]
  readonly #leaders: SimulatedLeader[]
  readonly #entries: SimulatedEntries
  readonly #peers: SimulatedPeers
  readonly #heartbeats: Heartbeats
  readonly #orders: OrderTransport
  readonly #proxies: SimulatedOrderRouting
  readonly #processes: Processes
  readonly #stored = new StoredDirectories()
  readonly drains: ZoneDrains
  readonly lifecycle: EndpointLifecycle
  readonly #after = (ms: number, run: () => void): void => {
    this.after(ms, run)
  }
  readonly #cuts = new EndpointCuts(this.#after, {
    reaches: (caller, endpoint) => this.zones?.reaches(caller, this.#zoneOf(endpoint)) ?? true,
    hears: (caller, endpoint) => this.zones?.hears(caller, this.#zoneOf(endpoint)) ?? true,
  })
  readonly #cutFromQuorum = new Set<number>()
  readonly #agenda = new EventScheduler({ startMs: 0 })
  #endpointsAdded = 0
  #term = 0
  #leader = 0

  constructor(private readonly options: DispatchSimulationOptions) {
    this.#processes = new Processes(options.leaders)
    this.#peers = this.#makePeers()
    this.#heartbeats = this.#makeHeartbeats()
    this.#entries = this.#makeEntries()
    this.drains = this.#makeDrains()
    this.lifecycle = new EndpointLifecycle({
      endpoints: this.endpoints,
      after: this.#after,
      random: options.random,
      now: () => this.now,
      isFatal: options.isFatal ?? (() => false),
      keepsIds: options.keepsIds === true,
      add: (id, place) => this.addEndpoint(id, place),
      announce: (endpoint) => {
        this.#heartbeats.announce(endpoint)
      },
      tellAll: (notice) => {
        for (const i of this.#machines.keys()) this.#peers.tellNotice(i, notice)
      },
      tellOne: (notice) => {
        this.#peers.tellNotice(this.#drawInstance(), notice)
      },
      report: (violation) => this.violations.push(violation),
    })
    this.#orders = new OrderTransport({
      endpoints: this.endpoints,
      chances: { lostAnswer: 0, lateOrder: 0, failedRun: 0, ...options.chances },
      drawRunMs: (task, endpoint) => {
        const { runMs, random } = options
        return typeof runMs === 'function' ? runMs(task, endpoint) : (runMs ?? 20 + random() * 200)
      },
      random: options.random,
      now: () => this.now,
      after: this.#after,
      isCut: (caller, endpoint) => this.#cuts.has(caller, endpoint),
      isAnswerCut: (caller, endpoint) => this.#cuts.hasBack(caller, endpoint),
      takesLivesForOne: options.takesLivesForOne === true,
    })
    this.#proxies = new SimulatedOrderRouting({
      leaders: options.leaders,
      proxies: options.proxies ?? 0,
      orders: this.#orders,
      now: () => this.now,
      after: this.#after,
      tell: (leader, event) => {
        this.#tell(leader, event)
      },
      processes: this.#processes,
    })
    this.#machines = Array.from({ length: options.leaders }, () =>
      makeSimulatedMachine(this.options),
    )
    this.#leaders = this.#machines.map((machine, i) => this.#makeLeader(machine, i))
    const { endpoints, racks = 1 } = options
    for (let i = 0; i < endpoints; i++) this.addEndpoint(`e${i}`, { rack: `r${i % racks}` })
  }

  /** The surroundings that entries and peers have in common. */
  get #world() {
    return {
      instances: this.options.leaders,
      random: this.options.random,
      now: () => this.now,
      after: this.#after,
      isUp: (i: number) => this.isUp(i),
      machine: (i: number) => this.#machines[i],
      tell: (i: number, event: DispatchEvent) => {
        this.#tell(i, event)
      },
    }
  }

  #makePeers(): SimulatedPeers {
    return new SimulatedPeers({
      ...this.#world,
      isCutFromQuorum: (i) => this.#cutFromQuorum.has(i),
      isLinked: (from, to) => this.zones?.areLinked(`d${from}`, `d${to}`) ?? true,
      hasWholeDirectory: (i) => this.#hasWholeDirectory(i),
    })
  }

  #makeHeartbeats(): Heartbeats {
    return new Heartbeats({
      ...this.#world,
      endpoints: this.endpoints,
      hears: (i, zone) => this.zones?.hears(`d${i}`, zone) ?? true,
      onLeaving: (endpoint) => {
        if (this.#hasLeaderInTouch) this.#checks.noteLeaving(endpoint)
      },
    })
  }

  #makeEntries(): SimulatedEntries {
    const { zones, resendsToNextProcess = false } = this.options
    return new SimulatedEntries({
      ...this.#world,
      zones,
      resendsToNextProcess,
      outcomes: this.outcomes,
      answeredAt: this.answeredAt,
      processes: this.#processes,
      leader: () => {
        const index = this.#leader
        return { index, term: this.#term, isCut: this.#isCutFromQuorum(index) }
      },
      onRefused: (jobId) => {
        this.#checks.onRefused(jobId)
      },
    })
  }

  /** The zones and the cuts between them, if the simulation has entries by zone. */
  get zones(): SimulatedZones | undefined {
    return this.#entries.zones
  }

  #zoneOf(id: string): string {
    return this.endpoints.find(({ options }) => options.id === id)?.options.zone ?? ''
  }

  #isCutFromQuorum(instance: number): boolean {
    return this.#cutFromQuorum.has(instance) || this.zones?.hasQuorum(instance) === false
  }

  #makeDrains(): ZoneDrains {
    return new ZoneDrains({
      fault: this.options.drainFault,
      hasLeader: () => this.#hasLeaderInTouch,
      tellLeader: (event) => {
        this.#tell(this.#leader, event)
      },
      onAcknowledged: (zone, drained) => {
        this.#checks.noteZoneDrain(zone, drained)
      },
    })
  }

  #makeLeader(machine: DispatchMachine, i: number): SimulatedLeader {
    const around = {
      machine,
      now: () => this.now,
      after: this.#after,
      perform: this.#processes.bind(i, (actions: readonly DispatchAction[]) => {
        this.#perform(i, actions)
      }),
    }
    const { costs } = this.options
    return costs === undefined ? new InstantLeader(around) : new PayingLeader(around, costs)
  }

  get now(): number {
    return this.#agenda.now
  }

  /** Number of endpoint incarnations started so far. */
  get endpointsAdded(): number {
    return this.#endpointsAdded
  }

  /** Counters of the instance that was elected last. */
  get counters(): Readonly<DispatchCounters> {
    const machine = this.#machines[this.#leader]
    if (machine === undefined) throw new Error('there is no leader')
    return machine.counters
  }

  addEndpoint(
    id: string,
    {
      address = `${id}:1`,
      rack = 'r',
      zone = SIMULATED_ZONES[this.#endpointsAdded % SIMULATED_ZONES.length] ?? '',
      startedAt = this.lifecycle.timeOfDay,
      isHeardByOne = false,
      knownTo = isHeardByOne ? [this.#drawInstance()] : [...this.#machines.keys()],
    }: AddedEndpoint = {},
  ): SimulatedEndpoint {
    const { random, placesEach: places, guardsPlaces = true } = this.options
    const isNamedById = this.options.takesLivesForOne === true
    const drift = random() * 0.02
    const clockStartMs = Math.floor(random() * 1e6)
    const more = { drift, clockStartMs, maxLeaseMs: MAX_LEASE_MS }
    const own = { id, startedAt, isNamedById, address, rack, zone, places, guardsPlaces }
    const endpoint = new SimulatedEndpoint({ ...own, service: SERVICE, ...more })
    endpoint.onStart = (run, isLate) => {
      this.#checks.onStart(endpoint, run.task, isLate)
      this.lifecycle.onStart(endpoint, run.task)
    }
    this.#endpointsAdded++
    this.endpoints.push(endpoint)
    for (const i of knownTo) this.#peers.tellNotice(i, endpoint.notice())
    return endpoint
  }

  #drawInstance(): number {
    return Math.floor(this.options.random() * this.#machines.length)
  }

  /**
   * Elects a leader. The old one loses its majority at once, and learns of the election after a
   * while unless it was elected again.
   *
   * @param gapMs - time without a leader in between
   */
  elect(leader: number, oldLearnsAfterMs: number, gapMs = 0): void {
    const old = this.#leader
    const followedUntil = this.now
    this.#leader = leader
    const term = ++this.#term
    if (old !== leader) {
      this.#cutFromQuorum.add(old)
      this.after(oldLearnsAfterMs, () => {
        const servesZone = this.#machines[old]?.zone !== undefined
        if (this.#leader !== old && !servesZone)
          this.#tell(old, { kind: DispatchEventKind.StepDown })
      })
    }
    if (gapMs === 0) this.#lead(leader, term, followedUntil)
    else {
      this.#cutFromQuorum.add(leader)
      this.after(gapMs, () => {
        this.#lead(leader, term, followedUntil)
      })
    }
  }

  /** Whether the process of an instance is running, so that it can be elected. */
  isUp(leader: number): boolean {
    return this.#processes.isUp(this.now, leader)
  }

  /** Whether this instance was elected last. */
  isElected(leader: number): boolean {
    return leader === this.#leader
  }

  /**
   * Kills the process of an instance, whose state in memory is lost, and starts the next one.
   *
   * @param downMs - time until the next process starts
   * @param newsMs - time until the entry learns of the loss, if this instance is the leader
   */
  restart(leader: number, downMs: number, newsMs: number): void {
    this.#processes.restart(leader, this.now + downMs)
    const machine = makeSimulatedMachine(this.options)
    this.#machines[leader] = machine
    this.#leaders[leader] = this.#makeLeader(machine, leader)
    this.#proxies.restart(leader)
    this.zones?.restartInstance(leader, this.now + downMs)
    this.after(
      downMs,
      this.#processes.bind(leader, () => {
        for (const event of this.#stored.read(leader)) this.#tell(leader, event)
        this.#peers.tellAllNotices(leader)
        if (this.options.resendsToNextProcess !== true) return
        for (const event of this.#entries.unacknowledged(leader)) this.#tell(leader, event)
      }),
    )
    const term = this.#term
    if (leader !== this.#leader) return
    this.after(newsMs, () => {
      if (this.#term === term) this.#tellLeader('')
    })
  }

  /** Entries in zones find the leader by themselves. */
  #tellLeader(leader: string): void {
    if (this.zones !== undefined) return
    this.#entries.step(ENTRY, { kind: RelayEventKind.Leader, leader, term: this.#term })
  }

  #lead(leader: number, term: number, followedUntil: number): void {
    // There may have been another election, or the elected instance may have been lost.
    if (this.#term !== term || !this.isUp(leader)) return
    this.#cutFromQuorum.delete(leader)
    const drainedZones = this.drains.atTermStart
    const table = makeSimulatedRouting(this.options.priorities)
    this.#tell(leader, { kind: DispatchEventKind.BecomeLeader, term, table, drainedZones })
    const learn = (): void => {
      this.#peers.readDirectories(leader, term)
      this.#tell(leader, {
        kind: DispatchEventKind.EarlierLeadersConfirmed,
        term,
        confirmedUntil: followedUntil,
      })
    }
    this.after(2 * WAY_MS, this.#processes.bind(leader, learn))
    this.after(0, () => {
      if (this.#term === term) this.#tellLeader(`d${leader}`)
    })
  }

  /** Whether a process has run long enough to have got a notice from every endpoint. */
  #hasWholeDirectory(leader: number): boolean {
    return this.now >= this.#processes.of(leader).startedAt + 2 * HEARTBEAT_MS
  }

  /** Delays all messages to and from a proxy for some time. */
  silenceProxy(proxy: number, forMs: number): void {
    this.#proxies.silence(proxy, forMs)
  }

  /** Partitions an instance (`d0`, or the proxy `p0`) from an endpoint for some time. */
  cut(instance: string, endpoint: string, forMs: number): void {
    this.#cuts.add(instance, endpoint, forMs)
  }

  submit(id: string, tasks: number, options: SubmitOptions = {}): void {
    const { deadlineMs = 5_000, queue = 0, entry = ENTRY } = options
    const spec = makeSimulatedJob(id, tasks, options)
    const place = {
      host: HOST,
      path: `/q${queue}/${id}`,
      receivedAt: this.now,
      deadlineAt: this.now + deadlineMs,
    }
    if (this.zones !== undefined) this.outcomes.delete(id)
    if (this.zones?.accept(entry, id) === false) return
    this.#entries.step(entry, { kind: RelayEventKind.Submit, requestId: id, spec, ...place })
  }

  after(ms: number, run: () => void): void {
    this.#agenda.after(ms, run)
  }

  /** Advances the simulated time. */
  run(ms: number): void {
    const end = this.now + ms
    while (this.now < end) {
      const until = Math.min(end, this.now + TICK_MS)
      this.#agenda.runUntil(until)
      this.#tick()
    }
  }

  #tick(): void {
    for (const endpoint of this.endpoints) endpoint.advance(this.now)
    this.#heartbeats.tick()
    this.#peers.readOpenJobs(this.#leader)
    this.zones?.tick()
    for (const [i, leader] of this.#leaders.entries()) {
      if (!this.#isCutFromQuorum(i)) {
        this.#tell(i, { kind: DispatchEventKind.LeadershipConfirmed, at: this.now - 2 * WAY_MS })
      }
      if (this.isUp(i)) leader.tick()
      if (this.options.storesDirectories === true && this.isUp(i)) {
        this.#stored.tick(this.now, i, this.#machines[i])
      }
      this.#proxies.tick(i, this.#machines[i]?.endpoints ?? 0)
    }
    this.#entries.tick()
  }

  get #hasLeaderInTouch(): boolean {
    return this.isUp(this.#leader) && !this.#cutFromQuorum.has(this.#leader)
  }

  #tell(leader: number, event: DispatchEvent): void {
    if (this.isUp(leader)) this.#leaders[leader]?.tell(event)
  }

  #perform(leader: number, actions: readonly DispatchAction[]): void {
    for (const action of actions) {
      if (action.kind === DispatchActionKind.Order)
        this.#proxies.order(leader, this.zones?.alter(leader, action) ?? action)
      else if (action.kind === DispatchActionKind.BroadcastNotice)
        this.#peers.spread(leader, action.notice)
      else if (action.kind === DispatchActionKind.BroadcastLosses) {
        this.#stored.noteNews(this.now, leader, this.#machines[leader])
        const { losses } = action
        this.#peers.tellOthers(leader, { kind: DispatchEventKind.EndpointLosses, losses })
      } else if (action.kind === DispatchActionKind.BroadcastHints) {
        const { hints } = action
        this.#peers.tellOthers(leader, { kind: DispatchEventKind.LeaderHints, hints })
      } else if (action.kind === DispatchActionKind.SendOpenJobs) {
        this.#peers.sendOpenJobs(leader, action.to, action.openJobs)
      } else if (action.kind === DispatchActionKind.Answer) {
        this.#entries.sendOutcome(leader, action.to, action.outcome)
      }
    }
    this.#proxies.flush(leader)
  }
}
