import { create } from '@bufbuild/protobuf'
import type { OwnerAction, OwnerEvent, RunResult, RunTaskAction } from '@cherryhitch/owner'
import { OwnerActionKind, OwnerEventKind, RunResultKind, StopState } from '@cherryhitch/owner'
import { EndpointAnnouncementSchema, EndpointState } from '@cherryhitch/protocol'
import type { EndpointAnnouncement } from '@cherryhitch/protocol'
import type { JointChecks } from './JointChecks'
import { JointRule } from './JointRule'

interface Request {
  readonly run: RunTaskAction
  readonly answer: (event: OwnerEvent) => void
}

/** What an endpoint needs of the run that it is part of. */
export interface JointEndpointOptions {
  readonly name: string
  readonly zone: string
  readonly service: string
  readonly slots: number
  readonly checks: JointChecks
  readonly broken: JointRule | undefined
  readonly drawRunMs: () => number
  readonly isFailing: () => boolean
}

interface Running {
  leaseEndsAt: number
  readonly endsAt: number
  readonly payload: string
}

/** A service on a worker, by the published endpoint interface: each id once, under a lease. */
export class JointEndpoint {
  boot = 1
  /** The process runs. */
  up = true
  /** It accepts and does not answer. */
  hangs = false
  leaving = false
  private running = new Map<string, Running>()
  private ended = new Map<string, RunResult>()
  private fenced = new Set<string>()
  private waiting: Request[] = []

  constructor(readonly options: JointEndpointOptions) {}

  get load(): number {
    return this.running.size
  }

  announce(): EndpointAnnouncement {
    const { name, zone, service, slots } = this.options
    return create(EndpointAnnouncementSchema, {
      endpoint: name,
      service,
      zone,
      rack: `${zone}-r`,
      address: `${name}:1`,
      slots,
      connections: 2 * slots,
      capacity: { cores: 32, memoryMb: 65_536 },
      boot: this.boot,
      runningTaskIds: [...this.running.keys()],
      state: this.leaving ? EndpointState.LEAVING : EndpointState.SERVING,
    })
  }

  /** A request of an owner arrives; its answer follows at once, later, or never. */
  take(now: number, action: OwnerAction, answer: (event: OwnerEvent) => void): void {
    const endpoint = this.options.name
    if (action.kind === OwnerActionKind.RunTask) this.put(now, { run: action, answer })
    if (action.kind === OwnerActionKind.StopTasks) {
      const results = action.taskIds.map((taskId) => ({ taskId, state: this.stop(taskId) }))
      answer({ kind: OwnerEventKind.StopEnded, endpoint, results, boot: this.boot })
    }
    if (action.kind === OwnerActionKind.RenewLeases) {
      const taskIds = action.taskIds
      const knownTaskIds = taskIds.filter((taskId) => this.renew(taskId, now + action.leaseMs))
      answer({
        kind: OwnerEventKind.LeasesRenewed,
        endpoint,
        taskIds,
        knownTaskIds,
        boot: this.boot,
      })
    }
    if (action.kind === OwnerActionKind.Probe) {
      answer({ kind: OwnerEventKind.ProbeEnded, endpoint, alive: true })
    }
  }

  /** Ends what is done and what has no lease any more. */
  tick(now: number): void {
    if (this.options.broken === JointRule.TasksEnd) return
    for (const [taskId, { leaseEndsAt, endsAt, payload }] of [...this.running]) {
      if (leaseEndsAt <= now) this.end(taskId, runResult(RunResultKind.Failed))
      else if (endsAt <= now) {
        const kind = this.options.isFailing() ? RunResultKind.Failed : RunResultKind.Succeeded
        this.end(taskId, runResult(kind, payload))
      }
    }
  }

  /** The process ends; a later one knows nothing of it. */
  kill(): void {
    this.up = false
    const broken = this.waiting
    this.running = new Map()
    this.ended = new Map()
    this.fenced = new Set()
    this.waiting = []
    for (const request of broken) reply(request, runResult(RunResultKind.Lost))
  }

  start(): void {
    this.boot++
    this.up = true
    this.leaving = false
  }

  /** Open connections fall silent: whoever waits hears nothing. */
  silence(): void {
    this.waiting = []
  }

  private put(now: number, request: Request): void {
    const { run } = request
    const { taskId } = run
    const ended = this.ended.get(taskId)
    const dedupes = this.options.broken !== JointRule.EndpointsDedupe
    if (run.endpointBoot !== this.boot) reply(request, runResult(RunResultKind.NotRun))
    else if (!dedupes) this.run(now, request)
    else if (ended !== undefined) reply(request, ended)
    else if (this.fenced.has(taskId)) reply(request, runResult(RunResultKind.NotRun))
    else if (this.running.has(taskId)) this.waiting.push(request)
    else if (run.join || this.leaving || this.running.size >= this.options.slots) {
      reply(request, runResult(RunResultKind.NotRun))
    } else this.run(now, request)
  }

  private run(now: number, request: Request): void {
    const { taskId, payload, leaseMs } = request.run
    this.options.checks.noteStart(taskId, payload)
    const endsAt = now + this.options.drawRunMs()
    this.running.set(taskId, { leaseEndsAt: now + leaseMs, endsAt, payload })
    this.waiting.push(request)
  }

  private renew(taskId: string, until: number): boolean {
    const task = this.running.get(taskId)
    if (task !== undefined) task.leaseEndsAt = until
    return task !== undefined
  }

  private stop(taskId: string): StopState {
    if (this.ended.has(taskId)) return StopState.Ended
    if (this.options.broken === JointRule.TasksEnd) return StopState.NoAnswer
    if (this.running.has(taskId)) {
      this.end(taskId, runResult(RunResultKind.Failed))
      return StopState.Stopped
    }
    this.fenced.add(taskId)
    return StopState.NeverSeen
  }

  private end(taskId: string, result: RunResult): void {
    this.running.delete(taskId)
    this.ended.set(taskId, result)
    const isFor = (request: Request): boolean => request.run.taskId === taskId
    const answered = this.waiting.filter(isFor)
    this.waiting = this.waiting.filter((request) => !isFor(request))
    for (const request of answered) reply(request, result)
  }
}

function reply({ run, answer }: Request, result: RunResult): void {
  const { endpoint, taskId } = run
  answer({ kind: OwnerEventKind.RunEnded, endpoint, taskId, run: run.run, result })
}

/** What an owner's client makes of an endpoint's answer, or of a broken connection. */
export function runResult(kind: RunResultKind, payload = ''): RunResult {
  const output = kind === RunResultKind.Succeeded ? payload : ''
  return { kind, output, detail: '', runMs: 50, answered: kind !== RunResultKind.Lost }
}
