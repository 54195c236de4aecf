import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { findLosses, sumLosses } from './accountLosses'
import { formatLosses } from './formatLosses'
import { LossCause } from './LossCause'
import { readRequestLog } from './readRequestLog'

const ENTRY = 'edge-1'

function line(msg: string, fields: object): string {
  const time = '2026-01-01T00:00:02.000Z'
  return `  2.000 ${ENTRY} ${JSON.stringify({ hostname: ENTRY, time, ...fields, msg })}`
}

function answered(id: string, verdict: string, ms: number, reason = ''): string {
  return line('entry: a request was answered', { path: `/q/${id}`, verdict, reason, ms })
}

/** A job with an objective of 200 ms and 100 ms of work. */
function ended(id: string, ms: number, more: object = {}): string {
  const common = { job: id, route: 'r', ms, overdueMs: ms - 200, estimateMs: 100, coreMs: 500 }
  const counts = { failures: 0, unansweredStarts: 0, lostRuns: 0, overruns: 0, lastStartMs: 5 }
  return line('dispatch: a job ended', { ...common, ...counts, ...more })
}

const cases: readonly (readonly [LossCause | undefined, readonly string[]])[] = [
  [undefined, [ended('a', 150), answered('a', 'COMPLETED', 155)]],
  [LossCause.RanLong, [ended('a', 250), answered('a', 'COMPLETED', 255)]],
  [LossCause.Waited, [ended('a', 250, { lastStartMs: 120 }), answered('a', 'COMPLETED', 255)]],
  [LossCause.EndpointLost, [ended('a', 900, { lostRuns: 1 }), answered('a', 'COMPLETED', 905)]],
  [LossCause.EndpointHung, [ended('a', 900, { overruns: 1 }), answered('a', 'COMPLETED', 905)]],
  [LossCause.LostOrder, [ended('a', 400, { unansweredStarts: 1 }), answered('a', 'UNKNOWN', 405)]],
  [LossCause.LeaderChange, [ended('a', 900, { isResumed: true }), answered('a', 'UNKNOWN', 905)]],
  [LossCause.RunFailed, [ended('a', 400, { failures: 3 }), answered('a', 'FAILED', 405)]],
  [
    LossCause.NoPlace,
    [ended('a', 2), answered('a', 'REFUSED', 6, 'no place becomes free in time')],
  ],
  [LossCause.NoPlaceLate, [ended('a', 80), answered('a', 'REFUSED', 85, 'could not be done')]],
  [LossCause.NoLeader, [answered('a', 'REFUSED', 40, 'no instance leads at the moment')]],
  [LossCause.NoLeader, [ended('a', 900), answered('a', 'UNKNOWN', 905, 'its leader was lost')]],
  [
    LossCause.CallerLeft,
    [ended('a', 60), line('entry: a caller left before its answer', { path: '/q/a', ms: 62 })],
  ],
  [LossCause.Unread, [line('entry: a request was refused unread', { path: '/q/a', ms: 0 })]],
]

describe('the account of what was not served in time', () => {
  for (const [cause, lines] of cases) {
    it(`finds ${cause ?? 'no loss'} behind ${lines.length} lines`, () => {
      const found = findLosses(readRequestLog(lines.join('\n')))
      assert.deepEqual(
        found.map((loss) => loss.cause),
        cause === undefined ? [] : [cause],
      )
    })
  }

  it('sums to the whole, and names second, zone and work', () => {
    const lines = [
      line('entry: started', { zone: 'z1' }),
      ended('a', 250),
      answered('a', 'COMPLETED', 255),
      ended('b', 250),
      answered('b', 'COMPLETED', 255),
      answered('c', 'REFUSED', 1_255, 'no instance leads at the moment'),
      'a line of another program',
    ]
    const log = readRequestLog(lines.join('\n'))
    const rows = sumLosses(findLosses(log))
    assert.deepEqual(
      rows.map(({ cause, requests, coreSeconds, worstSeconds }) => ({
        cause,
        requests,
        coreSeconds,
        worstSeconds,
      })),
      [
        { cause: LossCause.RanLong, requests: 2, coreSeconds: 1, worstSeconds: [1] },
        { cause: LossCause.NoLeader, requests: 1, coreSeconds: 0, worstSeconds: [0] },
      ],
    )
    assert.equal(
      rows.reduce((sum, { share }) => sum + share, 0),
      1,
    )
    assert.match(formatLosses(rows, log.requests.length), /z1 2[^]*3 of 3 requests not served/)
  })

  it('leaves out questions about queues', () => {
    const text = answered('', 'COUNTED', 4)
    assert.deepEqual(findLosses(readRequestLog(text)), [])
  })
})
