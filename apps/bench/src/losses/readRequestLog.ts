/** What an entry told a caller. */
export interface RequestLine {
  readonly jobId: string
  readonly entry: string
  /** Milliseconds since 1970 at which it was answered, or left. */
  readonly atMs: number
  readonly verdict: string
  readonly reason: string
  /** How long the caller waited, in milliseconds. */
  readonly ms: number
}

/** What the leader noted of a job that ended; times in milliseconds since its arrival. */
export interface JobLine {
  readonly route: string
  readonly ms: number
  readonly overdueMs: number
  readonly estimateMs: number
  readonly coreMs: number
  readonly lastStartMs: number | undefined
  readonly failures: number
  readonly unansweredStarts: number
  readonly lostRuns: number
  readonly overruns: number
  readonly isResumed: boolean
}

/** The lines of a log that tell what became of requests. */
export interface RequestLog {
  readonly requests: readonly RequestLine[]
  /** The last line of each job. */
  readonly jobs: ReadonlyMap<string, JobLine>
  /** Availability zone of each entry, by its name. */
  readonly zones: ReadonlyMap<string, string>
}

type Line = Readonly<Record<string, unknown>>

/** Verdict given to a request whose caller left before its answer. */
export const LEFT = 'LEFT'
/** Verdict given to a request that was refused before it got anywhere. */
export const UNREAD = 'UNREAD'

/** Reads structured logs of all instances; what stands before the JSON of a line is passed over. */
export function readRequestLog(text: string): RequestLog {
  const requests: RequestLine[] = []
  const jobs = new Map<string, JobLine>()
  const zones = new Map<string, string>()
  for (const raw of text.split('\n')) {
    const line = parseLine(raw)
    if (line === undefined) continue
    const sentence = textOf(line.msg).replace(/^\w+: /, '')
    if (sentence === 'a job ended') jobs.set(textOf(line.job), toJobLine(line))
    else if (sentence === 'started') zones.set(textOf(line.hostname), textOf(line.zone))
    else if (sentence === 'a request was answered') add(requests, line, textOf(line.verdict))
    else if (sentence === 'a caller left before its answer') add(requests, line, LEFT)
    else if (sentence === 'a request was refused unread') add(requests, line, UNREAD)
  }
  return { requests, jobs, zones }
}

function add(requests: RequestLine[], line: Line, verdict: string): void {
  const path = textOf(line.path)
  const jobId = path.slice(path.lastIndexOf('/') + 1)
  // A path without an id is a question about a queue.
  if (jobId === '') return
  const { reason, ms } = line
  const entry = textOf(line.hostname)
  const atMs = Date.parse(textOf(line.time))
  requests.push({ jobId, entry, atMs, verdict, reason: textOf(reason), ms: numberOf(ms) })
}

function parseLine(raw: string): Line | undefined {
  const start = raw.indexOf('{"')
  if (start < 0) return undefined
  try {
    return JSON.parse(raw.slice(start)) as Line
  } catch {
    // Cut lines, and text of other programs, tell nothing of requests.
    return undefined
  }
}

function toJobLine(line: Line): JobLine {
  return {
    route: textOf(line.route),
    ms: numberOf(line.ms),
    overdueMs: numberOf(line.overdueMs),
    estimateMs: numberOf(line.estimateMs),
    coreMs: numberOf(line.coreMs),
    lastStartMs: typeof line.lastStartMs === 'number' ? line.lastStartMs : undefined,
    failures: numberOf(line.failures),
    unansweredStarts: numberOf(line.unansweredStarts),
    lostRuns: numberOf(line.lostRuns),
    overruns: numberOf(line.overruns),
    isResumed: line.isResumed === true,
  }
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : ''
}

function numberOf(value: unknown): number {
  return typeof value === 'number' ? value : 0
}
