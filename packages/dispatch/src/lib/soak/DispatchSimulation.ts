import { JobVerdict, NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice, Envelope, JobOutcome } from '@cherryhitch/protocol'
import { EventScheduler } from '@cherryhitch/runtime'
import { DispatchActionKind } from '../DispatchAction'
import type { DispatchAction } from '../DispatchAction'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchCounters } from '../DispatchCore'
import { DispatchMachine } from '../DispatchMachine'
import { JobRelay, RelayActionKind, RelayEventKind } from '../relay/JobRelay'
import type { RelayAction, RelayEvent } from '../relay/JobRelay'
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
import { Processes } from './Processes'
import { SimulatedOrderRouting } from './SimulatedOrderRouting'
import { InstantLeader } from './SimulatedLeader'
import type { SimulatedLeader } from './SimulatedLeader'
import { requestOf, SentRequests } from './SentRequests'
import { HOST, makeSimulatedRouting, SERVICE } from './simulatedRouting'
import { SimulatedZones } from './SimulatedZones'
import { StartChecks } from './StartChecks'
import { StoredDirectories } from './StoredDirectories'
import { SIMULATED_ZONES, ZoneDrains } from './ZoneDrains'
import { SimulatedEndpoint } from './SimulatedEndpoint'

const ENTRY = 'entry'
const TICK_MS = 10
const MAX_LEASE_MS = 1_000
const HEARTBEAT_MS = 1_500
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
  readonly #relays = new Map<string, JobRelay>()
  readonly zones: SimulatedZones | undefined
  readonly #orders: OrderTransport
  readonly #proxies: SimulatedOrderRouting
  readonly #processes: Processes
  readonly #sent = new SentRequests()
  readonly #stored = new StoredDirectories()
  readonly drains: ZoneDrains
  readonly lifecycle: EndpointLifecycle
  readonly #after = (ms: number, run: () => void): void => {
    this.after(ms, run)
  }
  readonly #cuts = new EndpointCuts(this.#after)
  readonly #cutFromQuorum = new Set<number>()
  readonly #agenda = new EventScheduler({ startMs: 0 })
  #heartbeatDueAt = 0
  #endpointsAdded = 0
  #term = 0
  #leader = 0

  constructor(private readonly options: DispatchSimulationOptions) {
    this.#processes = new Processes(options.leaders)
    this.zones = this.#makeZones()
    for (const entry of this.zones?.entries ?? [ENTRY]) this.#relays.set(entry, new JobRelay())
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
        this.#announce(endpoint)
      },
      tellAll: (notice) => {
        for (const i of this.#machines.keys()) this.#tellNotice(i, notice)
      },
      tellOne: (notice) => {
        this.#tellNotice(this.#drawInstance(), notice)
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
      isCut: (caller, endpoint) => {
        if (this.#cuts.has(caller, endpoint)) return true
        return this.zones?.reaches(caller, this.#zoneOfEndpoint(endpoint)) === false
      },
      isAnswerCut: (caller, endpoint) => {
        if (this.#cuts.has(caller, endpoint)) return true
        return this.zones?.hears(caller, this.#zoneOfEndpoint(endpoint)) === false
      },
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
    this.#machines = Array.from({ length: options.leaders }, () => this.#makeMachine())
    this.#leaders = this.#machines.map((machine, i) => this.#makeLeader(machine, i))
    const { endpoints, racks = 1 } = options
    for (let i = 0; i < endpoints; i++) this.addEndpoint(`e${i}`, { rack: `r${i % racks}` })
  }

  #makeZones(): SimulatedZones | undefined {
    const { zones, leaders, random } = this.options
    if (zones === undefined) return undefined
    return new SimulatedZones({
      ...zones,
      instances: leaders,
      random,
      now: () => this.now,
      after: this.#after,
      machine: (i) => this.#machines[i],
      isUp: (i) => this.isUp(i),
      tell: (i, event) => {
        this.#tell(i, event)
      },
      tellRelay: (entry, event) => {
        this.#stepRelay(entry, event)
      },
      onOutcome: (outcome) => {
        this.#onOutcome(outcome)
      },
      leader: () => ({
        index: this.#leader,
        term: this.#term,
        isCut: this.#isCutFromQuorum(this.#leader),
      }),
      restartRelay: (entry) => {
        this.#relays.set(entry, new JobRelay())
      },
    })
  }

  #zoneOfEndpoint(id: string): string {
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

  #makeMachine(): DispatchMachine {
    const { order, admission, without = [], makeMachine } = this.options
    const chosen = {
      without,
      ...(this.options.zones?.areAlone === true && { hasZoneDispatchers: true }),
      ...(order !== undefined && { order }),
      ...(admission !== undefined && { admission }),
    }
    return makeMachine?.(chosen) ?? new DispatchMachine(chosen)
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
    const own = {
      id,
      startedAt,
      isNamedById,
      address,
      rack,
      zone,
      places,
      guardsPlaces,
    }
    const endpoint = new SimulatedEndpoint({ ...own, service: SERVICE, ...more })
    endpoint.onStart = (run, isLate) => {
      this.#checks.onStart(endpoint, run.task, isLate)
      this.lifecycle.onStart(endpoint, run.task)
    }
    this.#endpointsAdded++
    this.endpoints.push(endpoint)
    for (const i of knownTo) this.#tellNotice(i, endpoint.notice())
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
    const machine = this.#makeMachine()
    this.#machines[leader] = machine
    this.#leaders[leader] = this.#makeLeader(machine, leader)
    this.#proxies.restart(leader)
    this.zones?.restartInstance(leader, this.now + downMs)
    this.after(
      downMs,
      this.#processes.bind(leader, () => {
        for (const event of this.#stored.read(leader)) this.#tell(leader, event)
        for (const i of this.#machines.keys())
          if (this.#areLinked(i, leader)) this.#tellNotices(i, leader)
        if (this.options.resendsToNextProcess !== true) return
        for (const event of this.#sent.unacknowledged(this.now, leader)) this.#tell(leader, event)
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
    this.#stepRelay(ENTRY, { kind: RelayEventKind.Leader, leader, term: this.#term })
  }

  #stepRelay(entry: string, event: RelayEvent): void {
    this.#performRelay(entry, this.#relays.get(entry)?.step(this.now, event) ?? [])
  }

  #areLinked(one: number, other: number): boolean {
    if (one === other) return false
    return this.zones?.areLinked(`d${one}`, `d${other}`) ?? true
  }

  #lead(leader: number, term: number, followedUntil: number): void {
    // There may have been another election, or the elected instance may have been lost.
    if (this.#term !== term || !this.isUp(leader)) return
    this.#cutFromQuorum.delete(leader)
    const drainedZones = this.drains.atTermStart
    const table = makeSimulatedRouting(this.options.priorities)
    this.#tell(leader, { kind: DispatchEventKind.BecomeLeader, term, table, drainedZones })
    const learn = (): void => {
      this.#readDirectories(leader, term)
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

  /**
   * Sends the new leader the directory of another instance, chosen at random, with which it forms a
   * majority.
   */
  #readDirectories(leader: number, term: number): void {
    const others = [...this.#machines.keys()].filter((i) => this.#areLinked(i, leader))
    const asked = others[Math.floor(this.options.random() * others.length)]
    if (asked !== undefined) this.#tellNotices(asked, leader)
    const majority = asked === undefined ? [leader] : [leader, asked]
    if (2 * majority.length <= this.#machines.length) return
    if (!majority.every((i) => this.#hasWholeDirectory(i))) return
    this.#tell(leader, { kind: DispatchEventKind.DirectoryComplete, term })
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
    this.#stepRelay(entry, { kind: RelayEventKind.Submit, requestId: id, spec, ...place })
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
    this.#sendHeartbeats()
    this.zones?.tick()
    for (const [i, leader] of this.#leaders.entries()) {
      if (!this.#isCutFromQuorum(i)) {
        this.#tell(i, { kind: DispatchEventKind.LeadershipConfirmed, at: this.now - 2 * WAY_MS })
      }
      if (this.isUp(i)) leader.tick()
      const machine = this.#machines[i]
      if (this.options.storesDirectories === true && machine !== undefined && this.isUp(i)) {
        this.#stored.tick(this.now, i, machine)
      }
      this.#proxies.tick(i, this.#machines[i]?.endpoints ?? 0)
    }
    for (const [entry, relay] of this.#relays) {
      if (this.zones?.isEntryUp(entry) !== false) this.#performRelay(entry, relay.tick(this.now))
    }
  }

  /** Sends a notice of each endpoint to all instances that know it. */
  #sendHeartbeats(): void {
    if (this.now < this.#heartbeatDueAt) return
    this.#heartbeatDueAt = this.now + HEARTBEAT_MS
    for (const endpoint of this.endpoints) this.#announce(endpoint)
  }

  #announce(endpoint: SimulatedEndpoint): void {
    const notice = endpoint.notice()
    for (const [i, machine] of this.#machines.entries()) {
      // A leave notice goes to all instances before it is acknowledged.
      if (!machine.hasEndpoint(notice.endpoint) && notice.state === NoticeState.SERVING) continue
      if (this.zones?.hears(`d${i}`, notice.zone) === false) continue
      this.#tellNotice(i, notice)
    }
    const isLeaving = notice.state === NoticeState.LEAVING
    if (isLeaving && this.#hasLeaderInTouch) this.#checks.noteLeaving(endpoint)
  }

  get #hasLeaderInTouch(): boolean {
    return this.isUp(this.#leader) && !this.#cutFromQuorum.has(this.#leader)
  }

  #tellNotice(leader: number, notice: EndpointNotice): void {
    this.#tell(leader, { kind: DispatchEventKind.Notice, notice })
  }

  #tell(leader: number, event: DispatchEvent): void {
    if (this.isUp(leader)) this.#leaders[leader]?.tell(event)
  }

  #perform(leader: number, actions: readonly DispatchAction[]): void {
    for (const action of actions) {
      if (action.kind === DispatchActionKind.Order)
        this.#proxies.order(leader, this.zones?.alter(leader, action) ?? action)
      else if (action.kind === DispatchActionKind.BroadcastNotice)
        this.#spread(leader, action.notice)
      else if (action.kind === DispatchActionKind.BroadcastLosses) {
        const machine = this.#machines[leader]
        if (machine !== undefined) this.#stored.noteNews(this.now, leader, machine)
        this.#tellOthers(leader, { kind: DispatchEventKind.EndpointLosses, losses: action.losses })
      } else if (action.kind === DispatchActionKind.Answer) {
        this.#sendOutcome(leader, action.to, action.outcome)
      }
    }
    this.#proxies.flush(leader)
  }

  #sendOutcome(leader: number, entry: string, outcome: JobOutcome): void {
    const from = `d${leader}`
    if (this.zones?.areLinked(from, entry) === false) return
    this.after(WAY_MS, () => {
      if (this.zones?.isEntryUp(entry) === false) return
      this.#stepRelay(entry, { kind: RelayEventKind.Outcome, from, outcome })
    })
  }

  #spread(leader: number, notice: EndpointNotice): void {
    if (this.#cutFromQuorum.has(leader)) return
    this.#tellOthers(leader, { kind: DispatchEventKind.Notice, notice })
  }

  #tellOthers(leader: number, event: DispatchEvent): void {
    this.after(WAY_MS, () => {
      for (const i of this.#leaders.keys()) if (this.#areLinked(leader, i)) this.#tell(i, event)
    })
  }

  /** Sends the endpoints and losses that one instance knows to another one. */
  #tellNotices(from: number, to: number): void {
    const news = this.#machines[from]?.losses(this.now)
    if (news !== undefined) this.#tell(to, { kind: DispatchEventKind.EndpointLosses, losses: news })
    for (const notice of this.#machines[from]?.notices(this.now) ?? []) {
      this.#tellNotice(to, notice)
    }
  }

  #performRelay(entry: string, actions: readonly RelayAction[]): void {
    for (const action of actions) {
      if (action.kind === RelayActionKind.Answer) this.#onOutcome(action.outcome)
      else this.#deliver(entry, action.to, action.envelope)
    }
  }

  #deliver(entry: string, to: string, message: Envelope): void {
    const leader = Number(to.slice(1))
    const event = requestOf(entry, message)
    if (event === undefined) return
    this.zones?.noteSent(entry, event)
    if (this.zones?.areLinked(entry, to) === false) return
    if (this.options.resendsToNextProcess === true) this.#sent.note(this.now, leader, event)
    const deliver = (): void => {
      const outcome = this.zones?.refusal(leader, event)
      if (outcome !== undefined) this.#sendOutcome(leader, entry, outcome)
      else this.#tell(leader, event)
    }
    this.after(WAY_MS, this.#processes.bind(leader, deliver))
  }

  #onOutcome(outcome: JobOutcome): void {
    if (this.zones !== undefined) {
      this.#onAttemptOutcome(this.zones, outcome)
      return
    }
    const earlier = this.outcomes.get(outcome.requestId)
    this.outcomes.set(outcome.requestId, outcome)
    this.answeredAt.set(outcome.requestId, this.now)
    // A caller that resubmits a job of unknown outcome knows that its first attempt may have run.
    if (outcome.verdict !== JobVerdict.REFUSED || earlier?.verdict === JobVerdict.UNKNOWN) return
    this.#checks.onRefused(outcome.requestId)
  }

  /** A job was refused only if all submissions of it were. */
  #onAttemptOutcome(zones: SimulatedZones, outcome: JobOutcome): void {
    const { requestId } = outcome
    const settled = zones.settle(outcome)
    this.outcomes.set(requestId, settled)
    this.answeredAt.set(requestId, this.now)
    if (settled.verdict === JobVerdict.REFUSED) this.#checks.onRefused(requestId)
  }
}
