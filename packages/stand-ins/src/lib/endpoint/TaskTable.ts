import { StopAnswerState } from '@cherryhitch/model'
import { BoundedMap } from '../util/BoundedMap'

/** What becomes of a PUT. @internal */
export enum AdmitVerdict {
  Start = 'start',
  /** The same id runs here: answer when it ends. */
  Join = 'join',
  /** The same id ended here: answer what was kept. */
  Replay = 'replay',
  Full = 'full',
  Fenced = 'fenced',
  /** The same id ended here, and its answer is not kept any more. */
  Forgotten = 'forgotten',
  Leaving = 'leaving',
  /** It was to join a task that is not known here; the id is fenced, since "not run" is said. */
  NothingToJoin = 'nothing_to_join',
}

/** @public */
export interface TaskTableOptions {
  readonly slots: number
  /** Answers kept for PUTs that come again. */
  readonly rememberedAnswers: number
  /** Ids kept of ended and fenced tasks; must outlast the longest deadline of the load. */
  readonly rememberedIds: number
  /** How long a leaving endpoint goes on taking tasks that were already on their way. */
  readonly leavingGraceMs: number
}

/** The grace is the "few seconds" of the brief, as the architecture page sets them. @public */
export const defaultTaskTableOptions: TaskTableOptions = {
  slots: 8,
  rememberedAnswers: 512,
  rememberedIds: 50_000,
  leavingGraceMs: 3000,
}

enum PastKind {
  Ended = 'ended',
  Fenced = 'fenced',
}

/**
 * Decides which tasks an endpoint starts: one run for each id, never more than its slots.
 *
 * @internal
 */
export class TaskTable<Answer> {
  private readonly leases = new Map<string, number>()
  private readonly past: BoundedMap<string, PastKind>
  private readonly answers: BoundedMap<string, Answer>
  private leavingSince = Infinity

  constructor(private readonly options: TaskTableOptions) {
    this.past = new BoundedMap(options.rememberedIds)
    this.answers = new BoundedMap(options.rememberedAnswers)
  }

  get busySlots(): number {
    return this.leases.size
  }

  runningIds(): string[] {
    return [...this.leases.keys()]
  }

  /** Takes a PUT in; Start occupies a slot and begins the lease. */
  admit(now: number, taskId: string, leaseMs: number, joinOnly = false): AdmitVerdict {
    const known = this.recognize(taskId)
    if (known !== undefined) return known
    if (joinOnly) {
      this.past.set(taskId, PastKind.Fenced)
      return AdmitVerdict.NothingToJoin
    }
    if (this.refusesWork(now)) return AdmitVerdict.Leaving
    if (this.leases.size >= this.options.slots) return AdmitVerdict.Full
    this.leases.set(taskId, now + leaseMs)
    return AdmitVerdict.Start
  }

  private recognize(taskId: string): AdmitVerdict | undefined {
    if (this.leases.has(taskId)) return AdmitVerdict.Join
    const kind = this.past.get(taskId)
    if (kind === undefined) return undefined
    if (kind === PastKind.Fenced) return AdmitVerdict.Fenced
    return this.answers.get(taskId) === undefined ? AdmitVerdict.Forgotten : AdmitVerdict.Replay
  }

  keptAnswer(taskId: string): Answer | undefined {
    return this.answers.get(taskId)
  }

  /** Renews the leases of those that run here and returns their ids. */
  renew(now: number, taskIds: readonly string[], leaseMs: number): string[] {
    const running = taskIds.filter((taskId) => this.leases.has(taskId))
    for (const taskId of running) this.leases.set(taskId, now + leaseMs)
    return running
  }

  /** When the lease of a running task ends. */
  leaseEnd(taskId: string): number | undefined {
    return this.leases.get(taskId)
  }

  /** Frees the slot of a running task and keeps its answer. */
  end(taskId: string, answer: Answer): void {
    if (!this.leases.delete(taskId)) return
    this.past.set(taskId, PastKind.Ended)
    this.answers.set(taskId, answer)
  }

  /** Says what a stop means for an id, and fences it when it was never seen. */
  judgeStop(taskId: string): StopAnswerState {
    if (this.leases.has(taskId)) return StopAnswerState.Stopped
    // A fenced id never started here, so repeating the stop gets the first answer again.
    if (this.past.get(taskId) === PastKind.Ended) return StopAnswerState.Ended
    this.past.set(taskId, PastKind.Fenced)
    return StopAnswerState.NeverSeen
  }

  leave(now: number): void {
    this.leavingSince = Math.min(this.leavingSince, now)
  }

  get leaving(): boolean {
    return this.leavingSince !== Infinity
  }

  private refusesWork(now: number): boolean {
    return now > this.leavingSince + this.options.leavingGraceMs
  }
}
