import { groupBy } from '@cherryhitch/model'
import { LossCause } from './LossCause'
import { LEFT, UNREAD } from './readRequestLog'
import type { JobLine, RequestLine, RequestLog } from './readRequestLog'

/** A request that was not served in time. */
export interface Loss {
  readonly cause: LossCause
  readonly jobId: string
  /** Whole seconds since the first request. */
  readonly second: number
  readonly zone: string
  readonly route: string
  readonly coreMs: number
  readonly waitedMs: number
}

/** What one cause took. */
export interface CauseRow {
  readonly cause: LossCause
  readonly requests: number
  /** Share of all that was lost, 0 to 1. */
  readonly share: number
  readonly coreSeconds: number
  readonly medianWaitMs: number
  /** The two seconds with most of them. */
  readonly worstSeconds: readonly number[]
  readonly byRoute: ReadonlyMap<string, number>
  readonly byZone: ReadonlyMap<string, number>
}

/** Verdicts that need no account: a question, or a route that isn't there. */
const NOT_COUNTED = new Set(['COUNTED', 'NO_ROUTE', 'NO_JOB', 'QUEUED', 'RUNNING'])
const REFUSED_AT_DOOR = 'no place becomes free in time'
/** Waiting longer than this share of its slack makes a job late more often than its work does. */
const WAIT_SHARE = 0.5

/** Every request that was not served in time, with its cause. */
export function findLosses({ requests, jobs, zones }: RequestLog): readonly Loss[] {
  const counted = requests.filter(({ verdict }) => !NOT_COUNTED.has(verdict))
  const startOf = ({ atMs, ms }: RequestLine): number => atMs - ms
  const first = Math.min(...counted.map(startOf))
  return counted.flatMap((req): Loss[] => {
    const job = jobs.get(req.jobId)
    const cause = causeOf(req, job)
    if (cause === undefined) return []
    return [
      {
        cause,
        jobId: req.jobId,
        second: Math.floor((startOf(req) - first) / 1000),
        zone: zones.get(req.entry) ?? '',
        route: job?.route ?? '',
        coreMs: job?.coreMs ?? 0,
        waitedMs: req.ms,
      },
    ]
  })
}

/** The losses by cause, the most frequent first. */
export function sumLosses(losses: readonly Loss[]): readonly CauseRow[] {
  const rows = [...groupBy(losses, ({ cause }) => cause)].map(([cause, group]): CauseRow => {
    const waits = group.map(({ waitedMs }) => waitedMs).sort((a, b) => a - b)
    const seconds = [...countBy(group, ({ second }) => second)].sort((a, b) => b[1] - a[1])
    return {
      cause,
      requests: group.length,
      share: group.length / losses.length,
      coreSeconds: group.reduce((sum, { coreMs }) => sum + coreMs, 0) / 1000,
      medianWaitMs: waits[Math.floor(waits.length / 2)] ?? 0,
      worstSeconds: seconds.slice(0, 2).map(([second]) => second),
      byRoute: countBy(group, ({ route }) => route),
      byZone: countBy(group, ({ zone }) => zone),
    }
  })
  return rows.sort((a, b) => b.requests - a.requests)
}

function countBy<K>(losses: readonly Loss[], keyOf: (loss: Loss) => K): ReadonlyMap<K, number> {
  return new Map([...groupBy(losses, keyOf)].map(([key, group]) => [key, group.length]))
}

/** Undefined for a request that was served in time, as far as the leader's estimate tells. */
function causeOf(req: RequestLine, job: JobLine | undefined): LossCause | undefined {
  if (req.verdict === UNREAD) return LossCause.Unread
  if (job === undefined) {
    return req.verdict === 'COMPLETED' ? undefined : LossCause.NoLeader
  }
  const objectiveMs = job.ms - job.overdueMs
  if (req.verdict === 'COMPLETED' && req.ms <= objectiveMs) return undefined
  if (req.verdict === LEFT && req.ms < objectiveMs) return LossCause.CallerLeft
  if (req.verdict === 'REFUSED') {
    return req.reason === REFUSED_AT_DOOR ? LossCause.NoPlace : LossCause.NoPlaceLate
  }
  if (req.reason.includes('leader')) return LossCause.NoLeader
  return causeWithinLeader(req, job, objectiveMs)
}

function causeWithinLeader(
  req: RequestLine,
  job: JobLine,
  objectiveMs: number,
): LossCause | undefined {
  if (job.failures > 0) return LossCause.RunFailed
  if (job.isResumed) return LossCause.LeaderChange
  if (job.lostRuns > 0) return LossCause.EndpointLost
  if (job.overruns > 0) return LossCause.EndpointHung
  if (job.unansweredStarts > 0) return LossCause.LostOrder
  const slackMs = Math.max(0, objectiveMs - job.estimateMs)
  const waitedMs = job.lastStartMs ?? req.ms
  if (waitedMs > WAIT_SHARE * slackMs) return LossCause.Waited
  if (req.verdict === 'COMPLETED') return LossCause.RanLong
  return LossCause.Unknown
}
