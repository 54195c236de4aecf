import type { TaskReport } from '@cherryhitch/protocol'

/** What is remembered of a task that is not in the book any more. @internal */
export interface RememberedTask {
  readonly taskId: string
  readonly at: number
  /** Placements up to this attempt are duplicates; a fenced id refuses every attempt. */
  readonly attempt: number
  /** It truly did not run, so that a later attempt may. */
  readonly notRun: boolean
  readonly coordinator: string
  /** Undefined for a fenced id, and once the bound on kept outputs dropped it. */
  report: TaskReport | undefined
  /** Whether the endpoint said that the task holds no slot any more. */
  released: boolean
  /** The owner that it was passed on to. */
  readonly passedTo: string | undefined
}

/** Limits of the memory. @internal */
export interface TaskMemoryOptions {
  readonly rememberMs: number
  readonly tasks: number
  readonly output: number
}

/**
 * Ended, fenced and passed-on tasks, bounded by time and number, so that a placement that comes
 * late or twice starts nothing and a report can be sent again.
 *
 * @internal
 */
export class TaskMemory {
  private readonly entries = new Map<string, RememberedTask>()
  /** Entries that still have their report, the oldest first. */
  private readonly withReports = new Map<string, RememberedTask>()
  private readonly cancelledJobs = new Map<string, number>()
  private readonly passedJobs = new Map<string, { at: number; to: Set<string> }>()
  private outputSize = 0

  constructor(private readonly options: TaskMemoryOptions) {}

  get size(): number {
    return this.entries.size
  }

  get(taskId: string): RememberedTask | undefined {
    return this.entries.get(taskId)
  }

  remember(entry: RememberedTask): void {
    this.forget(entry.taskId)
    this.entries.set(entry.taskId, entry)
    if (entry.report !== undefined) {
      this.withReports.set(entry.taskId, entry)
      this.outputSize += entry.report.output.length
    }
    this.enforceBounds()
  }

  forget(taskId: string): void {
    const entry = this.entries.get(taskId)
    if (entry === undefined) return
    this.entries.delete(taskId)
    this.dropReport(entry)
  }

  rememberCancelledJob(now: number, jobId: string): void {
    this.cancelledJobs.delete(jobId)
    this.cancelledJobs.set(jobId, now)
  }

  isCancelled(jobId: string): boolean {
    return this.cancelledJobs.has(jobId)
  }

  rememberPassedJob(now: number, jobId: string, to: string): void {
    const targets = this.passedJobs.get(jobId)?.to ?? new Set<string>()
    targets.add(to)
    this.passedJobs.delete(jobId)
    this.passedJobs.set(jobId, { at: now, to: targets })
  }

  /** The owners that tasks of a job were passed on to. */
  passedTo(jobId: string): readonly string[] {
    return [...(this.passedJobs.get(jobId)?.to ?? [])]
  }

  /** Forgets what is older than the limit. Maps keep the order of insertion, so that is the head. */
  expire(now: number): void {
    const oldest = now - this.options.rememberMs
    for (const entry of this.entries.values()) {
      if (entry.at > oldest) break
      this.forget(entry.taskId)
    }
    for (const [jobId, at] of this.cancelledJobs) {
      if (at > oldest) break
      this.cancelledJobs.delete(jobId)
    }
    for (const [jobId, { at }] of this.passedJobs) {
      if (at > oldest) break
      this.passedJobs.delete(jobId)
    }
  }

  private enforceBounds(): void {
    if (this.entries.size > this.options.tasks) this.trimEntries(afterTrim(this.options.tasks))
    if (this.outputSize > this.options.output) this.trimReports(afterTrim(this.options.output))
    trimOldest(this.cancelledJobs, this.options.tasks)
    trimOldest(this.passedJobs, this.options.tasks)
  }

  private trimEntries(limit: number): void {
    for (const entry of this.entries.values()) {
      if (this.entries.size <= limit) return
      this.forget(entry.taskId)
    }
  }

  private trimReports(limit: number): void {
    for (const entry of this.withReports.values()) {
      if (this.outputSize <= limit) return
      this.dropReport(entry)
    }
  }

  private dropReport(entry: RememberedTask): void {
    if (!this.withReports.delete(entry.taskId)) return
    this.outputSize -= entry.report?.output.length ?? 0
    entry.report = undefined
  }
}

/** Share of a full memory that is freed at once. */
const TRIMMED_SHARE = 1 / 20

/**
 * What is left after a trim. A Map walks over the places of deleted entries to find its oldest one,
 * so to drop one entry each time made the owner three times slower (docs/CAPACITY.md).
 */
function afterTrim(limit: number): number {
  return limit - Math.floor(limit * TRIMMED_SHARE)
}

function trimOldest(map: Map<string, unknown>, limit: number): void {
  if (map.size <= limit) return
  const left = afterTrim(limit)
  for (const key of map.keys()) {
    if (map.size <= left) return
    map.delete(key)
  }
}
