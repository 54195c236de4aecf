import type { TaskReport } from '@cherryhitch/protocol'

/** The history entry of a task that is no longer queued or dispatched. @internal */
export interface TaskHistoryEntry {
  readonly taskId: string
  readonly at: number
  /** Placements up to this attempt are duplicates; a fenced id rejects every attempt. */
  readonly attempt: number
  /** The task provably did not run, so a later attempt may be started. */
  readonly notRun: boolean
  readonly coordinator: string
  /** Undefined for a fenced id, and once evicted by the limit on retained output. */
  report: TaskReport | undefined
  /** Whether the endpoint confirmed that the task no longer holds a slot. */
  released: boolean
  /** The owner that the task was passed on to. */
  readonly passedTo: string | undefined
}

/** Limits on the task history; `maxOutputLength` counts characters. @internal */
export interface TaskHistoryOptions {
  readonly retentionMs: number
  readonly maxTasks: number
  readonly maxOutputLength: number
}

/**
 * A history of ended, fenced and passed-on tasks, bounded by time and number. It keeps late or
 * duplicate placements from starting a task again, and allows a report to be resent.
 *
 * @internal
 */
export class TaskHistory {
  private readonly entries = new Map<string, TaskHistoryEntry>()
  /** Entries that still have their report, oldest first. */
  private readonly withReports = new Map<string, TaskHistoryEntry>()
  private readonly cancelledJobs = new Map<string, number>()
  private readonly passedOnJobs = new Map<string, { at: number; to: Set<string> }>()
  private outputSize = 0

  constructor(private readonly options: TaskHistoryOptions) {}

  get size(): number {
    return this.entries.size
  }

  get(taskId: string): TaskHistoryEntry | undefined {
    return this.entries.get(taskId)
  }

  record(entry: TaskHistoryEntry): void {
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

  recordCancelledJob(now: number, jobId: string): void {
    this.cancelledJobs.delete(jobId)
    this.cancelledJobs.set(jobId, now)
  }

  isCancelled(jobId: string): boolean {
    return this.cancelledJobs.has(jobId)
  }

  recordPassedOnJob(now: number, jobId: string, to: string): void {
    const targets = this.passedOnJobs.get(jobId)?.to ?? new Set<string>()
    targets.add(to)
    this.passedOnJobs.delete(jobId)
    this.passedOnJobs.set(jobId, { at: now, to: targets })
  }

  /** The owners that tasks of a job were passed on to. */
  passedTo(jobId: string): readonly string[] {
    return [...(this.passedOnJobs.get(jobId)?.to ?? [])]
  }

  /** Evicts entries past the retention time. Maps keep insertion order, so these come first. */
  expire(now: number): void {
    const oldest = now - this.options.retentionMs
    for (const entry of this.entries.values()) {
      if (entry.at > oldest) break
      this.forget(entry.taskId)
    }
    for (const [jobId, at] of this.cancelledJobs) {
      if (at > oldest) break
      this.cancelledJobs.delete(jobId)
    }
    for (const [jobId, { at }] of this.passedOnJobs) {
      if (at > oldest) break
      this.passedOnJobs.delete(jobId)
    }
  }

  private enforceBounds(): void {
    if (this.entries.size > this.options.maxTasks)
      this.trimEntries(sizeAfterTrim(this.options.maxTasks))
    if (this.outputSize > this.options.maxOutputLength)
      this.trimReports(sizeAfterTrim(this.options.maxOutputLength))
    trimOldest(this.cancelledJobs, this.options.maxTasks)
    trimOldest(this.passedOnJobs, this.options.maxTasks)
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

  private dropReport(entry: TaskHistoryEntry): void {
    if (!this.withReports.delete(entry.taskId)) return
    this.outputSize -= entry.report?.output.length ?? 0
    entry.report = undefined
  }
}

/** Fraction of a full history that is evicted at once. */
const TRIM_FRACTION = 1 / 20

/**
 * Size left after a trim, in the unit of the limit. To find its oldest entry, a Map walks over the
 * slots of deleted ones, so evicting one entry at a time made the owner three times slower
 * (docs/CAPACITY.md).
 */
function sizeAfterTrim(limit: number): number {
  return limit - Math.floor(limit * TRIM_FRACTION)
}

function trimOldest(map: Map<string, unknown>, limit: number): void {
  if (map.size <= limit) return
  const left = sizeAfterTrim(limit)
  for (const key of map.keys()) {
    if (map.size <= left) return
    map.delete(key)
  }
}
