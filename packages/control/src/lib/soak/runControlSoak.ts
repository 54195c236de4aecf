import { create } from '@bufbuild/protobuf'
import {
  ClaimEndSchema,
  CommandSchema,
  KeyClaimSchema,
  VoterChangeKind,
} from '@cherryhitch/protocol'
import type { Command, VoterStatus } from '@cherryhitch/protocol'
import { DiskOperation } from '@cherryhitch/storage'
import { PresetName } from '../state/presets'
import { SimulatedCluster } from './SimulatedCluster'
import type { SimulationOptions } from './SimulatedCluster'
import { assertInvariant } from './SoakChecks'

/** @public */
export interface ControlSoakOptions {
  readonly seed: number
  /** Number of random operations and faults; each takes about half a second of simulated time. */
  readonly steps: number
  /** Number of disks that may be lost at once, 1 or 2. */
  readonly toleratedLosses?: number
  /** Injected faults of the mechanism, to verify that the checks detect them. @internal */
  readonly broken?: Partial<SimulationOptions>
}

/** @public */
export const defaultControlSoakOptions = { toleratedLosses: 1 } as const

/** Statistics of a run; a violated invariant throws instead. @public */
export interface ControlSoakReport {
  readonly simulatedMs: number
  readonly entries: number
  readonly answered: number
  readonly terms: number
  readonly crashes: number
  readonly wipes: number
  readonly diskFaults: number
  /** How often all power was lost at an acknowledgement, together with disks. */
  readonly lossesAtAcknowledgement: number
  /** How often a voter left its place to a learner, and its disk was gone for good. */
  readonly plannedReplacements: number
  /** How often a voter was read back from its disk within a running process. */
  readonly diskOpenings: number
}

const voters = ['v1', 'v2', 'v3']
const followers = ['f1', 'f2']
/**
 * Instances that start with an empty disk, by the number of losses that the voter set has to
 * tolerate. They join as learners and become voters when the set grows or a voter is lost.
 */
const sparesFor: Readonly<Record<number, readonly string[]>> = {
  1: ['v4'],
  2: ['v4', 'v5', 'v6'],
}
const reliableLink = { maxDelayMs: 3, loss: 0, duplication: 0 }
const unreliableLink = { maxDelayMs: 120, loss: 0.08, duplication: 0.08 }
const diskFaults = [DiskOperation.Sync, DiskOperation.Rename, DiskOperation.Append]
const KEYS = 12
const RECOVERY_TIMEOUT_MS = 60_000
/** A voter opens its disk again by itself within this time of the end of the disk's faults. */
const DISK_RECOVERY_TIMEOUT_MS = 3_000
/** How long a disk stays full or broken: less than a step up to many elections. */
const DISK_FAULT_MS = [50, 8_000] as const
/** How long an instance has to stop. */
const STOP_MS = [100, 3_000] as const
/** How long a run waits for the acknowledgement at which it loses all power. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 3_000
/** After a loss of all power the processes start within this time of each other. */
const STARTS_WITHIN_MS = 300

/**
 * Runs the state machines of three voters, spares and two followers under random commands and
 * faults, and asserts the invariants at each step. The same seed gives the same run.
 *
 * @throws Error if an invariant is violated, or if nothing commits after all faults have ended
 * @public
 */
export function runControlSoak(options: ControlSoakOptions): ControlSoakReport {
  const { seed, steps, broken, toleratedLosses } = { ...defaultControlSoakOptions, ...options }
  const spares = sparesFor[toleratedLosses] ?? []
  const cluster = new SimulatedCluster({
    seed,
    voters,
    spares,
    followers,
    link: unreliableLink,
    syncMs: 8,
    limits: { entriesPerMessage: 1, snapshotEvery: 40, entriesKept: 10 },
    toleratedLosses,
    ...broken,
  })
  const report = new SoakRun(cluster, [...voters, ...spares], toleratedLosses).run(steps)
  // No disk loses synced data unless a fault of the mechanism is injected.
  const distrusted = cluster.lines.find((line) => line.includes('not counted'))
  assertInvariant(broken !== undefined || distrusted === undefined, distrusted ?? '')
  return report
}

class SoakRun {
  readonly #cluster: SimulatedCluster
  readonly #commands: Command[] = []
  #crashes = 0
  #wipes = 0
  #diskFaults = 0
  #lossesAtAcknowledgement = 0
  #plannedReplacements = 0
  /** Whether spare disks join as learners before a disk is lost, as those of the program do. */
  readonly #hasSpareLearners: boolean
  /**
   * True once every member has synced an entry, and the set has grown to its size. Until then a voter
   * that has synced none refuses its vote to voters that have (see `VoterCore.isFresh`), so no disk
   * may be lost.
   */
  #hasStarted = false
  /** When the fault of a disk that is full or broken for some time ends. */
  readonly #faultEndsAt = new Map<string, number>()
  /** Ids of wiped disks for which the voter set has not been completed again. */
  readonly #lostDisks = new Set<string>()

  constructor(
    cluster: SimulatedCluster,
    private readonly diskInstances: readonly string[],
    private readonly toleratedLosses: number,
  ) {
    this.#cluster = cluster
    this.#hasSpareLearners = cluster.random.chance(0.5)
  }

  run(steps: number): ControlSoakReport {
    const { random } = this.#cluster
    for (let step = 0; step < steps; step++) {
      this.#proposeCommand()
      if (random.chance(0.35)) this.#injectFault()
      this.#repair()
      this.#cluster.run(random.between(20, 900))
    }
    this.#recover()
    return this.#report()
  }

  #proposeCommand(): Command {
    const { random, instances } = this.#cluster
    const instance = random.pick(instances)
    const newest = this.#commands.at(-1)
    const resend = newest !== undefined && random.chance(0.25)
    const command = resend ? random.pick(this.#commands.slice(-5)) : this.#newCommand(instance)
    this.#cluster.propose(instance, command)
    return command
  }

  #newCommand(instance: string): Command {
    const { random, now } = this.#cluster
    const commandId = `op${this.#commands.length}`
    const atMs = now
    const key = { caller: 'desk', submissionKey: `k${Math.floor(random.between(0, KEYS))}` }
    const jobId = `job${this.#commands.length}`
    let change: Command['change']
    if (random.chance(0.4)) {
      const name = random.pick(Object.values(PresetName))
      const fromVersion = this.#cluster.client(instance).settings?.version ?? 1
      const fields = { name, fromVersion, operator: instance, reason: 'soak', atMs }
      change = create(CommandSchema, { change: { case: 'setPreset', value: fields } }).change
    } else if (random.chance(0.7)) {
      const claim = create(KeyClaimSchema, { ...key, jobId, contentHash: 'h', atMs })
      change = create(CommandSchema, {
        change: { case: 'claimKeys', value: { claims: [claim] } },
      }).change
    } else {
      const ended = `job${Math.floor(random.between(0, this.#commands.length))}`
      const answer = new Uint8Array(random.chance(0.5) ? 3 : 0)
      const end = create(ClaimEndSchema, { ...key, jobId: ended, answer, atMs })
      change = create(CommandSchema, {
        change: { case: 'endClaims', value: { ends: [end] } },
      }).change
    }
    const command = create(CommandSchema, { commandId, change })
    this.#commands.push(command)
    return command
  }

  #injectFault(): void {
    const { random } = this.#cluster
    const instance = random.pick(this.diskInstances)
    const fault = Math.floor(random.between(0, 11))
    if (fault === 9) {
      this.#losePowerAtAcknowledgement()
      return
    }
    if (fault === 10) {
      this.#replaceAsPlanned(instance)
      return
    }
    if (fault === 0) this.#crash(instance)
    if (fault === 1) this.#wipe(instance)
    if (fault === 2) this.#cluster.cut(instance, { from: true, to: random.chance(0.6) })
    if (fault === 3) this.#cluster.cut(instance, { from: false, to: false })
    if (fault === 4) this.#cluster.link = random.chance(0.5) ? unreliableLink : reliableLink
    if (fault >= 6) this.#crashNewLeader(instance)
    if (fault === 5) this.#failDisk(instance)
  }

  /**
   * Stops an instance. If its voter has left its place to a learner, its disk is gone for good, which
   * costs no voter: as many further disks may be lost right after it as before.
   */
  #replaceAsPlanned(instance: string): void {
    const { random } = this.#cluster
    if (!this.#hasStarted || !this.#cluster.isUp(instance)) return
    const diskId = this.#cluster.diskId(instance)
    this.#cluster.stop(instance, { handsOver: true, withinMs: random.between(...STOP_MS) })
    if (this.#hasLeft(diskId)) {
      this.#plannedReplacements++
      this.#cluster.wipe(instance)
      if (random.chance(0.5)) this.#wipe(random.pick(this.diskInstances))
    }
    this.#cluster.start(instance)
  }

  /** True if it is committed that the disk has no vote. */
  #hasLeft(diskId: string): boolean {
    const leader = this.#cluster.leader()
    const voter = leader === undefined ? undefined : this.#cluster.voter(leader)
    const status = voter?.status(this.#cluster.now)
    if (voter === undefined || status === undefined) return false
    const isVoter = status.members.some((member) => member.diskId === diskId && !member.learner)
    return !isVoter && status.commitIndex === voter.lastIndex
  }

  /** Makes one operation of a disk fail, or all that write for some time. */
  #failDisk(instance: string): void {
    const { random, now } = this.#cluster
    const disk = this.#cluster.disk(instance)
    const isLasting = random.chance(0.7)
    if (!isLasting && !this.#cluster.isUp(instance)) return
    this.#diskFaults++
    if (!isLasting) {
      disk.fail({ operation: random.pick(diskFaults) })
      return
    }
    this.#faultEndsAt.set(instance, now + random.between(...DISK_FAULT_MS))
    if (random.chance(0.6)) disk.capacityBytes = 0
    else disk.haltAfter(0)
  }

  /** Ends the faults of disks that are due. */
  #endDiskFaults(now: number): void {
    for (const [instance, endsAt] of this.#faultEndsAt) {
      if (now < endsAt) continue
      this.#faultEndsAt.delete(instance)
      const disk = this.#cluster.disk(instance)
      disk.capacityBytes = Infinity
      disk.clearFaults()
    }
  }

  #crash(instance: string): void {
    this.#crashes++
    this.#cluster.crash(instance)
  }

  /** Leaders that crash soon after their election leave entries of many terms behind. */
  #crashNewLeader(otherwise: string): void {
    this.#cluster.runUntil(() => this.#cluster.leader() !== undefined, 3_000)
    this.#cluster.run(this.#cluster.random.between(1, 200))
    this.#crash(this.#cluster.leader() ?? otherwise)
  }

  /**
   * Wipes at most as many disks at once as the set tolerates. Further ones may be wiped as soon as
   * the set is complete again.
   */
  #wipe(instance: string): void {
    for (const lost of this.#wipeDisks(instance)) this.#cluster.start(lost)
  }

  /** Wipes the disk, and others at the same moment; returns the instances whose disk was wiped. */
  #wipeDisks(instance: string): readonly string[] {
    if (!this.#hasStarted) return []
    const { random } = this.#cluster
    const atOnce =
      this.toleratedLosses > 1 && random.chance(0.5) ? [random.pick(this.diskInstances)] : []
    const mayLose = this.toleratedLosses - this.#lostDisks.size
    const wiped = [...new Set([instance, ...atOnce])].slice(0, mayLose)
    for (const lost of wiped) {
      this.#wipes++
      this.#lostDisks.add(this.#cluster.diskId(lost))
      this.#cluster.wipe(lost)
    }
    return wiped
  }

  /**
   * Waits for an answer. At that moment disks are lost, and all processes lose power: only what the
   * remaining disks hold may count.
   */
  #losePowerAtAcknowledgement(): void {
    const { random, answers, instances } = this.#cluster
    const { commandId } = this.#proposeCommand()
    const isAnswered = (): boolean => answers.has(commandId)
    if (!this.#cluster.runUntil(isAnswered, ACKNOWLEDGEMENT_TIMEOUT_MS, 1)) return
    this.#lossesAtAcknowledgement++
    this.#wipeDisks(random.pick(this.diskInstances))
    for (const instance of instances) this.#cluster.crash(instance)
    for (const instance of instances) {
      this.#cluster.run(random.between(0, STARTS_WITHIN_MS / instances.length))
      this.#cluster.start(instance)
    }
    this.#cluster.introduceAll()
  }

  /** Starts processes and adds new disks, as the platform and the instances themselves do. */
  #repair(): void {
    this.#endDiskFaults(this.#cluster.now)
    for (const instance of this.diskInstances) this.#restart(instance)
    const leader = this.#cluster.leader()
    const voter = this.#cluster.voter(leader ?? 'v1')
    const status = voter?.status(this.#cluster.now)
    if (leader === undefined || voter === undefined || status === undefined) return
    const { members } = status
    const isComplete = this.#isComplete(members)
    const isCommitted = status.commitIndex === voter.lastIndex
    const isStored = members.every(({ matchIndex }) => matchIndex > 0)
    this.#hasStarted ||= isComplete && isStored && isCommitted
    if (!this.#needsLearners()) return
    for (const instance of this.diskInstances) this.#addDisk(leader, instance, members)
    if (isComplete && isCommitted) this.#lostDisks.clear()
  }

  /** True while the set grows, if disks are lost, or if spare disks join in any case. */
  #needsLearners(): boolean {
    const isGrowing = this.toleratedLosses > 1 && !this.#hasStarted
    return isGrowing || this.#hasSpareLearners || this.#lostDisks.size > 0
  }

  /** True if the set has enough voters to tolerate the losses, and no lost disk is a member. */
  #isComplete(members: readonly VoterStatus[]): boolean {
    const voting = members.filter(({ learner }) => !learner)
    const areLostRemoved = !members.some(({ diskId }) => this.#lostDisks.has(diskId))
    return areLostRemoved && voting.length > 2 * this.toleratedLosses
  }

  #restart(instance: string): void {
    const { random } = this.#cluster
    if (!this.#cluster.isUp(instance) && random.chance(0.5)) this.#cluster.start(instance)
  }

  #addDisk(leader: string, instance: string, members: readonly VoterStatus[]): void {
    const diskId = this.#cluster.diskId(instance)
    if (members.some((member) => member.diskId === diskId)) return
    const value = { kind: VoterChangeKind.ADD_LEARNER, instance, diskId, operator: 'op' }
    const commandId = `add.${diskId}.${this.#cluster.now}`
    const change = { case: 'changeVoters' as const, value }
    this.#cluster.propose(leader, create(CommandSchema, { commandId, change }))
  }

  /**
   * Ends all faults. Each voter must then recover without a restart. After a crash of all, a command
   * must commit, and no committed entry may be missing.
   */
  #recover(): void {
    this.#cluster.link = reliableLink
    this.#endDiskFaults(Infinity)
    for (const instance of this.diskInstances) {
      this.#cluster.cut(instance, { from: false, to: false })
      this.#cluster.disk(instance).clearFaults()
      this.#cluster.start(instance)
    }
    const areDisksOpen = (): boolean => {
      return this.diskInstances.every((instance) => this.#cluster.voter(instance)?.isHealthy)
    }
    const areReopened = this.#cluster.runUntil(areDisksOpen, DISK_RECOVERY_TIMEOUT_MS)
    assertInvariant(areReopened, 'a voter stays out although its disk works')
    this.#losePowerAtAcknowledgement()
    // Only what is on the disks may count from here on.
    for (const instance of this.diskInstances) this.#cluster.crash(instance)
    for (const instance of this.diskInstances) this.#cluster.start(instance)
    this.#cluster.introduceAll()
    const commandId = 'last'
    const change = { case: 'noop' as const, value: {} }
    const last = create(CommandSchema, { commandId, change })
    this.#cluster.propose('f1', last, RECOVERY_TIMEOUT_MS)
    const committed = (): boolean => this.#cluster.answers.get(commandId) !== undefined
    const recovered = this.#cluster.runUntil(committed, RECOVERY_TIMEOUT_MS)
    assertInvariant(recovered, 'nothing was committed after all faults had ended')
    const { checks } = this.#cluster
    const atLeast = checks.highestIndex
    const read = this.#cluster.read('f2', RECOVERY_TIMEOUT_MS)
    assertInvariant(read?.settings !== undefined, 'the last read was not answered')
    const { commitIndex = 0 } = read.voters ?? {}
    checks.checkEnd(atLeast, commitIndex, read.audit, read.settings)
  }

  #report(): ControlSoakReport {
    const cluster = this.#cluster
    return {
      simulatedMs: cluster.now,
      entries: cluster.checks.highestIndex,
      answered: cluster.answers.size,
      terms: Math.max(...this.diskInstances.map((instance) => cluster.voter(instance)?.term ?? 0)),
      crashes: this.#crashes,
      wipes: this.#wipes,
      diskFaults: this.#diskFaults,
      lossesAtAcknowledgement: this.#lossesAtAcknowledgement,
      plannedReplacements: this.#plannedReplacements,
      diskOpenings: cluster.diskOpenings,
    }
  }
}
