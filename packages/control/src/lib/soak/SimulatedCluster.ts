import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { CommandSchema, EnvelopeSchema, HardStateSchema } from '@cherryhitch/protocol'
import type {
  AuditRecord,
  Command,
  CommandAnswer,
  Envelope,
  ReadControlReply,
} from '@cherryhitch/protocol'
import { EventScheduler, TieOrder } from '@cherryhitch/runtime'
import { MemoryDisk } from '@cherryhitch/storage'
import { Cause, Effect } from 'effect'
import type { ClientAction, ClientEvent } from '../node/ClientEvent'
import { ClientActionKind, ClientEventKind } from '../node/ClientEvent'
import { ClientMachine } from '../node/ClientMachine'
import { defaultClientTiming } from '../node/ClientOptions'
import { isVoterMessage } from '../node/isVoterMessage'
import { nextHandoverChange } from '../node/nextHandoverChange'
import { genesisSnapshot } from '../state/genesis'
import { initVoters, openVoter } from '../store/initVoters'
import { VoterStore } from '../store/VoterStore'
import { SeededRandom } from '../util/SeededRandom'
import { ControlActionKind, VoterRole } from '../voter/ControlAction'
import type { PersistBatch } from '../voter/ControlAction'
import { ControlEventKind } from '../voter/ControlEvent'
import type { QuorumRules } from '../voter/QuorumRules'
import { DiskActionKind, DiskEventKind, RecoverableVoter } from '../voter/RecoverableVoter'
import type {
  DiskEvent,
  RecoverableVoterAction,
  RecoverableVoterEvent,
} from '../voter/RecoverableVoter'
import type { VoterMachine } from '../voter/VoterMachine'
import type { VoterLimits, VoterTiming } from '../voter/VoterOptions'
import { SoakChecks } from './SoakChecks'

/** Delay and faults of the simulated links. @internal */
export interface LinkBehaviour {
  readonly maxDelayMs: number
  readonly loss: number
  readonly duplication: number
}

/** @internal */
export interface SimulationOptions {
  readonly seed: number
  readonly voters: readonly string[]
  /** Instances with an empty disk that is not in the initial voter set. */
  readonly spares?: readonly string[]
  readonly followers: readonly string[]
  readonly link: LinkBehaviour
  readonly syncMs: number
  readonly limits?: Partial<VoterLimits>
  readonly voterTiming?: Partial<VoterTiming>
  /** See `VoterMachineOptions`. */
  readonly toleratedLosses?: number
  /** Broken rules, to verify that the checks detect them. */
  readonly rules?: QuorumRules
  readonly makeDisk?: (seed: number) => MemoryDisk
  /** Settings lease of the instances; a fault if it is longer than the leader assumes. */
  readonly clientLeaseMs?: number
  /** A wiped disk returns under its old id, which never happens in the real program. */
  readonly wipeKeepsId?: boolean
}

/** @internal */
export interface StopOptions {
  readonly handsOver: boolean
  readonly withinMs: number
}

/** A simulated process, and its disk, which survives a crash of the process. */
interface Process {
  readonly instance: string
  disk: MemoryDisk | undefined
  boot: number
  up: boolean
  diskId: string
  version: number
  client: ClientMachine
  voter: RecoverableVoter | undefined
  store: VoterStore | undefined
  writing: PersistBatch | undefined
}

const TICK_MS = 50
const AUDIT_PAGE = 500
const CLUSTER_ID = 'soak'

/**
 * Runs the state machines of all instances in one process under a simulated clock. Messages are
 * delayed, lost and duplicated, processes crash and disks fail, all determined by one seed. The
 * invariants of {@link SoakChecks} are asserted at each step.
 *
 * @internal
 */
export class SimulatedCluster {
  link: LinkBehaviour
  readonly random: SeededRandom
  readonly checks = new SoakChecks()
  readonly answers = new Map<string, CommandAnswer>()
  readonly lines: string[] = []
  /** Links that drop all messages, as `from>to`. */
  readonly #cut = new Set<string>()
  /** The seeds that the tests use were found with this order of simultaneous events. */
  readonly #agenda = new EventScheduler({ tieOrder: TieOrder.Lifo })
  readonly #options: SimulationOptions
  readonly #processes = new Map<string, Process>()
  #lastRead: ReadControlReply | undefined
  #wipes = 0
  #diskOpenings = 0
  #handoverCount = 0

  constructor(options: SimulationOptions) {
    this.#options = options
    this.link = options.link
    this.random = new SeededRandom(options.seed)
    const { voters, spares = [], followers } = options
    for (const instance of [...voters, ...spares, ...followers]) this.#create(instance)
    for (const { instance } of this.#processes.values()) this.start(instance)
  }

  get now(): number {
    return this.#agenda.now
  }

  get instances(): readonly string[] {
    return [...this.#processes.keys()]
  }

  /** How often a voter was read back from its disk within a running process. */
  get diskOpenings(): number {
    return this.#diskOpenings
  }

  voter(instance: string): VoterMachine | undefined {
    return this.#get(instance).voter?.machine
  }

  client(instance: string): ClientMachine {
    return this.#get(instance).client
  }

  disk(instance: string): MemoryDisk {
    const { disk } = this.#get(instance)
    if (disk === undefined) throw new Error(`${instance} has no disk`)
    return disk
  }

  diskId(instance: string): string {
    return this.#get(instance).diskId
  }

  isUp(instance: string): boolean {
    return this.#get(instance).up
  }

  /** The leader in the highest term. */
  leader(): string | undefined {
    const leaders = [...this.#processes.values()].filter(({ up, voter }) => {
      return up && voter?.machine?.role === VoterRole.Leader
    })
    leaders.sort((a, b) => (b.voter?.machine?.term ?? 0) - (a.voter?.machine?.term ?? 0))
    return leaders[0]?.instance
  }

  start(instance: string): void {
    const process = this.#get(instance)
    if (process.up) return
    process.up = true
    process.boot++
    process.writing = undefined
    process.store = undefined
    const { boot } = process
    const { voters, seed, limits, voterTiming, rules, toleratedLosses } = this.#options
    const settingsLeaseMs = this.#options.clientLeaseMs ?? defaultClientTiming.settingsLeaseMs
    const timing = { ...defaultClientTiming, settingsLeaseMs }
    process.client = new ClientMachine({ instance, boot, voters, timing, storesSettings: false })
    if (process.disk !== undefined) {
      const machineSeed = seed * 1_000 + boot * 10 + this.instances.indexOf(instance)
      const machine = {
        instance,
        seed: machineSeed,
        ...(limits && { limits }),
        ...(voterTiming && { timing: voterTiming }),
        ...(rules && { rules }),
        ...(toleratedLosses !== undefined && { toleratedLosses }),
      }
      const opened = this.#open(process, process.disk)
      const isOpen = opened.kind === DiskEventKind.Opened
      process.voter = new RecoverableVoter(machine, isOpen ? opened.stored : undefined)
      if (!isOpen) this.#tellVoter(process, opened)
    }
    this.#agenda.after(this.random.between(1, TICK_MS), () => {
      this.#tick(process, boot)
    })
  }

  /** Opens the files of a disk; the report goes to the voter of the process. */
  #open(process: Process, disk: MemoryDisk): DiskEvent {
    const makeId = (): string => `disk${++this.#wipes}`
    const exit = Effect.runSyncExit(openVoter(disk, process.instance, makeId))
    if (exit._tag === 'Failure') {
      const reason = String(Cause.squash(exit.cause))
      return { kind: DiskEventKind.OpenFailed, reason }
    }
    const { store, stored } = exit.value
    process.store = store
    process.diskId = stored.diskId
    return { kind: DiskEventKind.Opened, stored }
  }

  /** Crashes the process; a write in progress is interrupted at a random point. */
  crash(instance: string): void {
    const process = this.#get(instance)
    if (!process.up) return
    const { disk, store, writing } = process
    if (disk !== undefined && store !== undefined && writing !== undefined) {
      disk.haltAfter(Math.floor(this.random.between(0, 12)))
      Effect.runSyncExit(store.persist(writing))
    }
    process.up = false
    disk?.crash()
  }

  /**
   * Stops the process as on SIGTERM: it passes on its leadership and, if `handsOver`, its vote, and
   * ends within the time that it is given.
   */
  stop(instance: string, { handsOver, withinMs }: StopOptions): void {
    const endsAt = this.now + withinMs
    this.#tellVoter(this.#get(instance), { kind: ControlEventKind.TransferLeadership })
    let isLeaving = handsOver
    while (isLeaving && this.now < endsAt) isLeaving = this.#handOver(instance, endsAt)
    this.crash(instance)
  }

  /** Makes the next change of a handover; false if there is none. */
  #handOver(instance: string, endsAt: number): boolean {
    const { diskId, boot } = this.#get(instance)
    const voters = this.read(instance, endsAt - this.now)?.voters
    if (voters === undefined) return true
    const next = nextHandoverChange(voters, diskId)
    if (next === undefined) return false
    const commandId = `leave.${diskId}.${boot}.${++this.#handoverCount}`
    const value = { ...next, operator: instance, reason: 'its process stops' }
    const change = { case: 'changeVoters' as const, value }
    this.propose(instance, create(CommandSchema, { commandId, change }), endsAt - this.now)
    this.runUntil(() => this.answers.has(commandId), endsAt - this.now)
    return true
  }

  /** Crashes the process and replaces its disk by an empty one. */
  wipe(instance: string): void {
    this.crash(instance)
    const process = this.#get(instance)
    const { diskId } = process
    process.disk = this.#makeDisk()
    if (this.#options.wipeKeepsId !== true) return
    const { store } = Effect.runSync(VoterStore.open(process.disk))
    const vote = create(HardStateSchema, { diskId, term: 1 })
    Effect.runSync(store.initialize(vote, genesisSnapshot(CLUSTER_ID, this.#options.voters)))
  }

  /** Initializes the empty disk of an initial voter like `control init`. */
  initialize(instance: string): void {
    const { voters } = this.#options
    Effect.runSync(initVoters(this.disk(instance), { instance, voters, clusterId: CLUSTER_ID }))
  }

  /** Copies the current files of a disk to a new disk, synced. */
  copyDisk(instance: string): MemoryDisk {
    const from = this.disk(instance)
    const to = this.#makeDisk()
    for (const name of Effect.runSync(from.list())) {
      const bytes = Effect.runSync(from.read(name)) ?? new Uint8Array()
      Effect.runSync(to.writeNew(name, bytes))
      Effect.runSync(to.sync(name))
    }
    Effect.runSync(to.syncFolder())
    return to
  }

  replaceDisk(instance: string, disk: MemoryDisk): void {
    this.#get(instance).disk = disk
  }

  /** Cuts or restores the links of an instance to all others, separately for each direction. */
  cut(instance: string, how: { readonly from: boolean; readonly to: boolean }): void {
    for (const other of this.instances) {
      if (other === instance) continue
      this.#setCut(`${instance}>${other}`, how.from)
      this.#setCut(`${other}>${instance}`, how.to)
    }
  }

  /** Tells all instances of each other, as the discovery does after a start. */
  introduceAll(): void {
    const settingsVersion = 0
    for (const to of this.instances) {
      for (const instance of this.instances) {
        this.#tellClient(to, { kind: ClientEventKind.PeerSeen, instance, settingsVersion })
      }
    }
  }

  propose(instance: string, command: Command, timeoutMs = 5_000): void {
    this.#tellClient(instance, { kind: ClientEventKind.Propose, command, timeoutMs })
  }

  /** Reads through the quorum, with the whole audit log; undefined if the read is not confirmed. */
  read(instance: string, limitMs: number): ReadControlReply | undefined {
    const audit: AuditRecord[] = []
    for (;;) {
      this.#lastRead = undefined
      const range = { auditFrom: audit.length, auditLimit: AUDIT_PAGE, withRouting: false }
      this.#tellClient(instance, { kind: ClientEventKind.Read, readId: 'read', ...range })
      this.runUntil(() => this.#lastRead !== undefined, limitMs)
      const reply = this.#lastRead as ReadControlReply | undefined
      if (reply?.ok !== true) return undefined
      audit.push(...reply.audit)
      if (reply.audit.length < AUDIT_PAGE) return { ...reply, audit }
    }
  }

  /** Advances the simulated clock. */
  run(ms: number): void {
    this.#agenda.run(ms)
  }

  /** Advances the clock until the condition holds; false if it does not within the limit. */
  runUntil(condition: () => boolean, limitMs: number, stepMs = TICK_MS): boolean {
    const end = this.now + limitMs
    while (!condition() && this.now < end) this.run(stepMs)
    return condition()
  }

  #create(instance: string): void {
    const { voters, spares = [] } = this.#options
    const disk = [...voters, ...spares].includes(instance) ? this.#makeDisk() : undefined
    const timing = defaultClientTiming
    const client = new ClientMachine({ instance, boot: 0, voters, timing, storesSettings: false })
    const parts = { client, voter: undefined, store: undefined, writing: undefined }
    const process = { instance, disk, boot: 0, up: false, diskId: '', version: 0, ...parts }
    this.#processes.set(instance, process)
    if (voters.includes(instance)) this.initialize(instance)
  }

  #makeDisk(): MemoryDisk {
    const seed = Math.floor(this.random.between(1, 1_000_000))
    return this.#options.makeDisk?.(seed) ?? new MemoryDisk({ seed })
  }

  #get(instance: string): Process {
    const process = this.#processes.get(instance)
    if (process === undefined) throw new Error(`unknown instance ${instance}`)
    return process
  }

  #tick(process: Process, boot: number): void {
    if (!process.up || process.boot !== boot) return
    if (process.voter !== undefined) this.#runVoter(process, process.voter.tick(this.now))
    this.#runClient(process, process.client.tick(this.now))
    const current = process.client.isCurrent(this.now)
    this.checks.checkCurrent(process.instance, process.version, current)
    this.#agenda.after(TICK_MS, () => {
      this.#tick(process, boot)
    })
  }

  #tellClient(instance: string, event: ClientEvent): void {
    const process = this.#get(instance)
    if (process.up) this.#runClient(process, process.client.step(this.now, event))
  }

  #tellVoter(process: Process, event: RecoverableVoterEvent): void {
    if (process.voter !== undefined) this.#runVoter(process, process.voter.step(this.now, event))
  }

  #runVoter(process: Process, actions: readonly RecoverableVoterAction[]): void {
    for (const action of actions) {
      if (action.kind === DiskActionKind.Open) this.#reopen(process)
      if (action.kind === ControlActionKind.Send) this.#send(process, action.to, action.envelope)
      if (action.kind === ControlActionKind.Persist) this.#persist(process, action.batch)
      if (action.kind === ControlActionKind.Applied) this.checks.recordApplied(action)
      if (action.kind === ControlActionKind.Log) {
        this.lines.push(`${this.now} ${process.instance} ${action.line}`)
      }
      if (action.kind === ControlActionKind.RoleChanged && action.role === VoterRole.Leader) {
        this.checks.recordLeader(action.term, process.diskId)
      }
      if (action.kind === ControlActionKind.SettingsChanged) {
        const { settings } = action
        this.#tellClient(process.instance, { kind: ClientEventKind.LocalSettings, settings })
      }
    }
  }

  #runClient(process: Process, actions: readonly ClientAction[]): void {
    for (const action of actions) {
      if (action.kind === ClientActionKind.Send) this.#send(process, action.to, action.envelope)
      if (action.kind === ClientActionKind.ReadAnswered) this.#lastRead = action.reply
      if (action.kind === ClientActionKind.Answered) {
        this.checks.recordAnswer(action.answer)
        this.answers.set(action.answer.commandId, action.answer)
      }
      if (action.kind === ClientActionKind.SettingsChanged) {
        const { settings, current } = action
        this.checks.recordSettings(process.instance, 0, settings, current)
        process.version = settings.version
      }
    }
  }

  #persist(process: Process, batch: PersistBatch): void {
    const { boot, store } = process
    process.writing = batch
    this.#agenda.after(this.#options.syncMs * this.random.between(0.5, 2), () => {
      if (!process.up || process.boot !== boot || store === undefined) return
      process.writing = undefined
      const { id } = batch
      const exit = Effect.runSyncExit(store.persist(batch))
      if (exit._tag === 'Success') {
        this.#tellVoter(process, { kind: ControlEventKind.Persisted, id })
      } else {
        const reason = 'injected'
        this.#tellVoter(process, { kind: ControlEventKind.PersistFailed, id, reason })
      }
    })
  }

  #reopen(process: Process): void {
    const { boot, disk } = process
    this.#agenda.after(this.#options.syncMs * this.random.between(0.5, 2), () => {
      if (!process.up || process.boot !== boot || disk === undefined) return
      const event = this.#open(process, disk)
      if (event.kind === DiskEventKind.Opened) this.#diskOpenings++
      this.#tellVoter(process, event)
    })
  }

  #send(from: Process, to: string, envelope: Envelope): void {
    // Encoded at once, as on a real link, so that later changes by the sender are not delivered.
    const bytes = toBinary(EnvelopeSchema, envelope)
    const isLocal = from.instance === to
    const copies = !isLocal && this.random.chance(this.link.duplication) ? 2 : 1
    const { boot } = from
    for (let copy = 0; copy < copies; copy++) {
      if (!isLocal && this.random.chance(this.link.loss)) continue
      const delay = isLocal ? 0 : this.random.between(0.2, this.link.maxDelayMs)
      this.#agenda.after(delay, () => {
        if (!this.#cut.has(`${from.instance}>${to}`)) this.#deliver(from.instance, boot, to, bytes)
      })
    }
  }

  #deliver(from: string, boot: number, to: string, bytes: Uint8Array): void {
    const process = this.#processes.get(to)
    const { body } = fromBinary(EnvelopeSchema, bytes)
    if (process?.up !== true || body.case === undefined) return
    // Links drop messages from an earlier boot of the sender.
    if (this.#get(from).boot !== boot) return
    if (process.voter?.machine !== undefined && isVoterMessage(body)) {
      this.#tellVoter(process, { kind: ControlEventKind.Received, from, boot, body })
    } else {
      this.#tellClient(to, { kind: ClientEventKind.Received, from, body })
    }
  }

  #setCut(link: string, cut: boolean): void {
    if (cut) this.#cut.add(link)
    else this.#cut.delete(link)
  }
}
