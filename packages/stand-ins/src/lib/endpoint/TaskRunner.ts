import { ProblemRan, StopAnswerState, exhaustive } from '@cherryhitch/model'
import type { LeasesAnswer, ResourcesBody, StopsAnswer } from '@cherryhitch/model'
import type { JsonReply } from '../http/serverReplies'
import { problemReply } from '../http/serverReplies'
import { OveruseKind, RunEnd } from '../ledger/EndpointLedger'
import type { EndpointLedger, TaskRun } from '../ledger/EndpointLedger'
import { MessageKind, Waste } from '../ledger/messageCounts'
import { SeededRandom } from '../util/SeededRandom'
import { presentTime } from '../util/presentTime'
import type { StandInEndpointOptions } from './StandInEndpointOptions'
import type { TaskBehaviour } from './TaskBehaviour'
import { AdmitVerdict, TaskTable } from './TaskTable'
import { readPayload } from './readRunBody'
import type { RunTaskBody } from '@cherryhitch/model'

type Answerer = (reply: JsonReply) => void

/** Answers name the boot, so that an owner knows which process said it. */
interface Booted {
  readonly boot: number
}

interface RunningTask {
  readonly run: TaskRun
  readonly resources: ResourcesBody
  readonly answerers: Answerer[]
  runTimer: NodeJS.Timeout | undefined
  leaseTimer: NodeJS.Timeout | undefined
}

function wasteOf(verdict: AdmitVerdict): Waste {
  if (verdict === AdmitVerdict.Fenced) return Waste.RunAfterFence
  return verdict === AdmitVerdict.NothingToJoin ? Waste.NothingToJoin : Waste.RefusedFull
}

const STATUS = { ok: 200, conflict: 409, gone: 410, full: 429, failed: 500, leaving: 503 }

/** Holds slots with timers, obeys leases and answers PUTs; owns an endpoint's tasks. @internal */
export class TaskRunner {
  private readonly table: TaskTable<JsonReply>
  private readonly tasks = new Map<string, RunningTask>()
  private readonly random: SeededRandom
  private readonly ledger: EndpointLedger
  private behaviour: TaskBehaviour

  constructor(
    private readonly options: StandInEndpointOptions,
    private readonly boot: number,
  ) {
    this.table = new TaskTable(options)
    this.random = new SeededRandom(options.seed)
    this.ledger = options.ledger
    this.behaviour = options.behaviour
    this.ledger.recordEndpoint(options.endpoint, options.slots)
  }

  get leaving(): boolean {
    return this.table.leaving
  }

  runningIds(): string[] {
    return this.table.runningIds()
  }

  usage(): ResourcesBody {
    let cores = 0
    let memoryMb = 0
    let accelerators = 0
    for (const { resources } of this.tasks.values()) {
      cores += resources.cores ?? 0
      memoryMb += resources.memoryMb ?? 0
      accelerators += resources.accelerators ?? 0
    }
    return { cores, memoryMb, accelerators }
  }

  setBehaviour(behaviour: TaskBehaviour): void {
    this.behaviour = behaviour
  }

  leave(): void {
    this.table.leave(presentTime())
  }

  /** Takes a PUT in and answers it once, now or when the task ends. */
  run(taskId: string, body: RunTaskBody, answer: Answerer): void {
    if (body.boot !== undefined && body.boot !== this.boot) {
      this.ledger.recordMessage(MessageKind.Run, Waste.WrongBoot)
      this.ledger.recordRefusal(taskId)
      answer(problemReply(STATUS.conflict, ProblemRan.No, 'another process was meant'))
      return
    }
    const verdict = this.table.admit(presentTime(), taskId, body.leaseMs, body.join === true)
    switch (verdict) {
      case AdmitVerdict.Start:
        this.ledger.recordMessage(MessageKind.Run)
        this.start(taskId, body, answer)
        return
      case AdmitVerdict.Join:
        this.noteRepeat(taskId)
        this.tasks.get(taskId)?.answerers.push(answer)
        return
      case AdmitVerdict.Replay:
        this.noteRepeat(taskId)
        answer(this.table.keptAnswer(taskId) ?? this.refusal(AdmitVerdict.Forgotten))
        return
      case AdmitVerdict.Forgotten:
        this.noteRepeat(taskId)
        answer(this.refusal(verdict))
        return
      case AdmitVerdict.Full:
      case AdmitVerdict.Fenced:
      case AdmitVerdict.Leaving:
      case AdmitVerdict.NothingToJoin:
        this.noteRefusal(taskId, verdict)
        answer(this.refusal(verdict))
        return
      default:
        exhaustive(verdict)
    }
  }

  /** Stops what runs and fences what was never seen. */
  stop(taskIds: readonly string[]): StopsAnswer & Booted {
    const states = taskIds.map((taskId) => ({ taskId, state: this.stopOne(taskId) }))
    const useful = states.some(({ state }) => state === StopAnswerState.Stopped)
    this.ledger.recordMessage(MessageKind.Stop, useful ? undefined : Waste.StopWithoutTask)
    return { states, boot: this.boot }
  }

  renew(taskIds: readonly string[], leaseMs: number): LeasesAnswer & Booted {
    const running = this.table.renew(presentTime(), taskIds, leaseMs)
    const useful = running.length > 0
    this.ledger.recordMessage(MessageKind.Lease, useful ? undefined : Waste.LeaseWithoutTask)
    return { running, boot: this.boot }
  }

  /** The worker dies: every run ends unheard. */
  kill(): void {
    for (const task of this.tasks.values()) {
      clearTimeout(task.runTimer)
      clearTimeout(task.leaseTimer)
      this.ledger.recordEnd(task.run, RunEnd.Killed, presentTime())
    }
    this.tasks.clear()
  }

  private start(taskId: string, body: RunTaskBody, answer: Answerer): void {
    const now = presentTime()
    const payload = readPayload(body.payload)
    const run = this.ledger.recordStart(taskId, payload.token, this.options.endpoint, now)
    const task: RunningTask = {
      run,
      resources: body.resources ?? {},
      answerers: [answer],
      runTimer: undefined,
      leaseTimer: undefined,
    }
    this.tasks.set(taskId, task)
    this.checkCapacity(taskId, now)
    const plan = this.behaviour.plan(now, payload.runMs, this.random)
    task.runTimer = setTimeout(() => {
      this.end(taskId, plan.succeeds ? RunEnd.Succeeded : RunEnd.Failed)
    }, plan.runMs)
    this.watchLease(taskId, task, body.leaseMs)
  }

  /** The timer looks at the lease when it fires, so a renewal need not move it. */
  private watchLease(taskId: string, task: RunningTask, waitMs: number): void {
    task.leaseTimer = setTimeout(() => {
      const leaseEnd = this.table.leaseEnd(taskId)
      if (leaseEnd === undefined) return
      const leftMs = leaseEnd - presentTime()
      if (leftMs > 0) this.watchLease(taskId, task, leftMs)
      else this.end(taskId, RunEnd.LeaseRanOut)
    }, waitMs)
  }

  private end(taskId: string, end: RunEnd): void {
    const task = this.tasks.get(taskId)
    if (task === undefined) return
    const now = presentTime()
    clearTimeout(task.runTimer)
    clearTimeout(task.leaseTimer)
    this.tasks.delete(taskId)
    this.ledger.recordEnd(task.run, end, now)
    const reply = this.endReply(task.run, end, now)
    this.table.end(taskId, reply)
    for (const answer of task.answerers) answer(reply)
  }

  private endReply(run: TaskRun, end: RunEnd, now: number): JsonReply {
    if (end !== RunEnd.Succeeded) return problemReply(STATUS.failed, ProblemRan.Yes, `task ${end}`)
    const output = { token: run.token, taskId: run.taskId, endpoint: run.endpoint }
    return { status: STATUS.ok, body: { taskId: run.taskId, output, runMs: now - run.startedAt } }
  }

  private stopOne(taskId: string): StopAnswerState {
    const state = this.table.judgeStop(taskId)
    if (state === StopAnswerState.NeverSeen) this.ledger.recordFence(taskId)
    else this.ledger.recordStop(taskId)
    if (state === StopAnswerState.Stopped) this.end(taskId, RunEnd.Stopped)
    return state
  }

  private noteRepeat(taskId: string): void {
    this.ledger.recordMessage(MessageKind.Run, Waste.DuplicateRun)
    this.ledger.recordJoin(taskId)
  }

  private noteRefusal(taskId: string, verdict: AdmitVerdict): void {
    this.ledger.recordMessage(MessageKind.Run, wasteOf(verdict))
    this.ledger.recordRefusal(taskId)
    if (verdict !== AdmitVerdict.Leaving) return
    this.noteOveruse(OveruseKind.WorkAfterLeaving, taskId, 1, 0)
  }

  private refusal(verdict: AdmitVerdict): JsonReply {
    switch (verdict) {
      case AdmitVerdict.Fenced:
        return problemReply(STATUS.conflict, ProblemRan.No, 'the task id is fenced')
      case AdmitVerdict.NothingToJoin:
        return problemReply(STATUS.conflict, ProblemRan.No, 'the task is not known, and fenced now')
      case AdmitVerdict.Leaving:
        return problemReply(STATUS.leaving, ProblemRan.No, 'the endpoint is leaving')
      case AdmitVerdict.Forgotten:
        return problemReply(STATUS.gone, ProblemRan.Unknown, 'the answer is forgotten')
      default:
        return problemReply(STATUS.full, ProblemRan.No, 'every slot is taken')
    }
  }

  private checkCapacity(taskId: string, now: number): void {
    const { slots, capacity } = this.options
    const usage = this.usage()
    this.noteOveruse(OveruseKind.Slots, taskId, this.tasks.size, slots, now)
    this.noteOveruse(OveruseKind.Cores, taskId, usage.cores ?? 0, capacity.cores ?? 0, now)
    this.noteOveruse(OveruseKind.Memory, taskId, usage.memoryMb ?? 0, capacity.memoryMb ?? 0, now)
  }

  private noteOveruse(
    kind: OveruseKind,
    taskId: string,
    found: number,
    allowed: number,
    now = presentTime(),
  ): void {
    if (found <= allowed) return
    const { endpoint } = this.options
    this.ledger.recordOveruse({ kind, endpoint, taskId, at: now, found, allowed })
  }
}
