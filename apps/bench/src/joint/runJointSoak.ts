import { create } from '@bufbuild/protobuf'
import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import { shippedPresets } from '@cherryhitch/control'
import { JobSpecSchema, JobState } from '@cherryhitch/protocol'
import { JointCluster, SERVICE } from './JointCluster'
import type { JointProcess } from './JointProcess'
import type { JointRule } from './JointRule'

/** One run of the machines. */
export interface JointSoakOptions {
  readonly seed: number
  /** Each is a few submissions, perhaps a fault, and about a third of a second of the run's clock. */
  readonly steps: number
  /** Broken on purpose, to see that the checks notice. */
  readonly broken?: JointRule
}

/** What a run did: a run without work holds everything. */
export interface JointSoakReport {
  readonly simulatedMs: number
  readonly submissions: number
  readonly succeeded: number
  readonly starts: number
  readonly crashes: number
  readonly drains: number
  /** Messages that came again to a process that started after they were sent. */
  readonly duplicated: number
}

const QUIET_MS = 80_000
const KEYS = 30
const MAX_TASKS = 5
const ZONES = ['a', 'b', 'c']

/**
 * Runs coordinators, owners and membership of five instances in three zones among fake endpoints,
 * under random load and faults; the same seed gives the same run.
 *
 * @throws Error when an invariant is broken, with the seed and the instant
 */
export function runJointSoak({ seed, steps, broken }: JointSoakOptions): JointSoakReport {
  const cluster = new JointCluster(seed, broken)
  try {
    return new JointRun(cluster).run(steps)
  } catch (err) {
    const { message } = err as Error
    throw new Error(`seed ${seed}, at ${Math.round(cluster.agenda.now)} ms: ${message}`, {
      cause: err,
    })
  }
}

class JointRun {
  private requests = 0
  private crashes = 0
  private drains = 0
  /** Jobs that were answered at once, with the payloads of their tasks. */
  private readonly asyncJobs: { jobId: string; payloads: readonly string[] }[] = []
  private readonly startedAt: number
  private readonly faults: readonly (() => void)[]

  constructor(private readonly cluster: JointCluster) {
    this.startedAt = cluster.agenda.now
    this.faults = [
      () => {
        this.crash()
      },
      () => {
        this.crash()
      },
      () => {
        this.drain()
      },
      () => {
        this.freeze()
      },
      () => {
        this.cut()
      },
      () => {
        this.killEndpoint()
      },
      () => {
        this.hangEndpoint()
      },
      () => {
        this.cluster.random.pick(this.cluster.endpoints).silence()
      },
      () => {
        this.leave()
      },
      () => {
        this.cluster.quorumReachable = this.cluster.random.chance(0.6)
      },
      () => {
        this.changePreset()
      },
      () => {
        this.cluster.network.maxDelayMs = this.cluster.random.pick([3, 3, 60, 400])
      },
      () => {
        this.cancelWave()
      },
    ]
  }

  run(steps: number): JointSoakReport {
    const { random, agenda } = this.cluster
    const faultShare = random.between(0.1, 0.6)
    agenda.run(1500)
    for (let step = 0; step < steps; step++) {
      const submissions = random.integer(0, 5)
      for (let i = 0; i < submissions; i++) this.submit()
      if (random.chance(faultShare)) random.pick(this.faults)()
      this.endDrained()
      agenda.run(random.between(20, 600))
    }
    this.mend()
    agenda.run(QUIET_MS / 2)
    this.endDrained()
    agenda.run(QUIET_MS / 2)
    this.cluster.checks.checkAnswered()
    this.cluster.checkLeaks()
    return this.report()
  }

  private submit(): void {
    const { random } = this.cluster
    const process = this.cluster.running(random.pick(this.cluster.instances))
    if (process === undefined) return
    const isKeyed = random.chance(0.3)
    const key = isKeyed ? `key${random.integer(1, KEYS)}` : ''
    const name = isKeyed ? key : `job${this.requests}`
    const tasks = isKeyed ? 1 + (key.length % 2) : random.integer(1, MAX_TASKS)
    const payloads = Array.from({ length: tasks }, (_, index) => JSON.stringify(`${name}/${index}`))
    const job = create(JobSpecSchema, {
      caller: isKeyed ? 'desk' : random.pick(['desk', 'batch']),
      submissionKey: key,
      idempotent: !isKeyed,
      deadlineInMs: random.logBetween(300, 20_000),
      tasks: payloads.map((payload) => ({ service: SERVICE, payload, expectedRunMs: 100 })),
    })
    const requestId = this.expect(process, payloads)
    const respondAsync = random.chance(0.2)
    const kind = CoordinatorEventKind.Submit
    process.act(() => {
      process.tellCoordinator({ kind, requestId, job, respondAsync })
    })
    const jobId = this.cluster.checks.submissions.get(requestId)?.answers[0]?.jobId
    if (jobId !== undefined) this.asyncJobs.push({ jobId, payloads })
    if (random.chance(0.05)) this.hangUp(process, requestId)
  }

  private expect(process: JointProcess, payloads: readonly string[]): string {
    const requestId = `r${this.requests++}`
    const { instance } = process.options
    const isAlive = (): boolean => process.isUp
    const submission = { requestId, payloads, instance, isAlive, answers: [] }
    this.cluster.checks.submissions.set(requestId, submission)
    return requestId
  }

  /** The caller's connection closes; no answer is owed any more. */
  private hangUp(process: JointProcess, requestId: string): void {
    const { random, agenda, checks } = this.cluster
    agenda.after(random.between(1, 2000), () => {
      const submission = checks.submissions.get(requestId)
      if (submission === undefined || submission.answers.length > 0) return
      checks.submissions.set(requestId, { ...submission, isAlive: () => false })
      process.act(() => {
        process.tellCoordinator({ kind: CoordinatorEventKind.CallerGone, requestId })
      })
    })
  }

  private cancelWave(): void {
    const { random } = this.cluster
    for (const { jobId, payloads } of this.asyncJobs.splice(0)) {
      const process = this.cluster.running(random.pick(this.cluster.instances))
      if (process === undefined) continue
      const requestId = this.expect(process, payloads)
      const caller = random.pick(['desk', 'batch'])
      const question = {
        requestId,
        jobId,
        caller,
        cancel: random.chance(0.6),
        wait: random.chance(0.5),
      }
      const kind = CoordinatorEventKind.Query
      process.act(() => {
        process.tellCoordinator({ kind, ...question })
      })
    }
  }

  private crash(): void {
    const { random, agenda, instances } = this.cluster
    const instance = random.pick(instances)
    this.crashes++
    this.cluster.crash(instance)
    agenda.after(random.pick([5, 20, 200, 1500, 5000]), () => {
      this.cluster.start(instance)
    })
  }

  private drain(): void {
    const { random, instances } = this.cluster
    const process = this.cluster.running(random.pick(instances))
    if (process === undefined || process.isDraining) return
    process.act(() => {
      process.drain()
    })
  }

  /** A shipped preset, with a drawn number of owners for each zone. */
  private changePreset(): void {
    const { random } = this.cluster
    const ownerShards = random.integer(1, 3)
    this.cluster.setPreset({ ...random.pick(shippedPresets), ownerShards })
  }

  /** What finished draining ends, and its next process starts. */
  private endDrained(): void {
    for (const process of [...this.cluster.processes.values()]) {
      if (!process.isUp || !this.cluster.isDrained(process)) continue
      this.drains++
      this.cluster.endDrained(process)
      const { instance } = process.options
      this.cluster.agenda.after(500, () => {
        this.cluster.start(instance)
      })
    }
  }

  private freeze(): void {
    const { random, agenda, instances } = this.cluster
    const process = this.cluster.running(random.pick(instances))
    process?.freeze()
    agenda.after(random.pick([300, 2000, 4000]), () => process?.thaw())
  }

  private cut(): void {
    const { random, agenda } = this.cluster
    const zone = random.pick(ZONES)
    this.cluster.setCut(zone, true)
    agenda.after(random.pick([300, 3000, 12_000]), () => {
      this.cluster.setCut(zone, false)
    })
  }

  private killEndpoint(): void {
    const { random, agenda, endpoints } = this.cluster
    const endpoint = random.pick(endpoints)
    if (!endpoint.up) return
    endpoint.kill()
    agenda.after(random.pick([10, 1000, 5000]), () => {
      endpoint.start()
    })
  }

  private hangEndpoint(): void {
    const { random, agenda, endpoints } = this.cluster
    const endpoint = random.pick(endpoints)
    endpoint.hangs = true
    agenda.after(random.pick([500, 2000, 6000]), () => {
      endpoint.hangs = false
    })
  }

  private leave(): void {
    const { random, agenda, endpoints } = this.cluster
    const endpoint = random.pick(endpoints)
    endpoint.leaving = true
    agenda.after(random.pick([1000, 4000]), () => {
      if (!endpoint.up) return
      endpoint.kill()
      endpoint.start()
    })
  }

  /** All faults end. */
  private mend(): void {
    this.cluster.agenda.run(15_000)
    this.cluster.quorumReachable = true
    this.cluster.network.maxDelayMs = 3
    for (const process of this.cluster.processes.values()) process.thaw()
  }

  private report(): JointSoakReport {
    const { checks, agenda, network } = this.cluster
    return {
      simulatedMs: agenda.now - this.startedAt,
      submissions: checks.submissions.size,
      succeeded: checks.count(JobState.SUCCEEDED),
      starts: checks.starts,
      crashes: this.crashes,
      drains: this.drains,
      duplicated: network.duplicated,
    }
  }
}
