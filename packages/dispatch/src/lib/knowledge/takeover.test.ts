import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Mechanism } from '@cherryhitch/model'
import { playLoad } from '../soak/playLoad'
import type { LoadOptions, LoadOutcome } from '../soak/playLoad'

const SEEDS = [1, 2, 3, 4, 5, 6]
const UNEVEN = [0.6, 1, 1.6]
const KILLED_AT_MS = 3_500
const GAP_MS = 300
/** Jobs sent less than this before the leader ends may still run then. */
const LONGEST_JOB_MS = 500
const WINDOW_MS = 2_000

/** Share in time of the jobs submitted in a window. */
function inTime({ jobs }: LoadOutcome, fromMs: number): number {
  const sent = jobs.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
  return sent.filter((job) => job.inTime).length / sent.length
}

/** By how much the share in time falls from the window before a take-over to the one after it. */
function meanLoss(options: LoadOptions): number {
  const losses = SEEDS.map((seed) => {
    const takeover = { atMs: KILLED_AT_MS, gapMs: GAP_MS }
    const outcome = playLoad({ ...options, seed, warmUpMs: 8_000, playMs: 7_000, takeover })
    assert.deepEqual(outcome.violations, [])
    const before = inTime(outcome, KILLED_AT_MS - LONGEST_JOB_MS - WINDOW_MS)
    return before - inTime(outcome, KILLED_AT_MS + GAP_MS)
  })
  return losses.reduce((sum, loss) => sum + loss, 0) / losses.length
}

describe('a next leader at 0.6 of the slot capacity', () => {
  it('serves as many jobs in time as the one before, with uneven endpoints', () => {
    const loss = meanLoss({ load: 0.6, speeds: UNEVEN })
    assert.ok(loss < 0.03, `${loss} fewer in time`)
  })
})

describe('passing on what was learnt', () => {
  const plays: readonly (readonly [string, LoadOptions])[] = [
    ['underload', { load: 0.6 }],
    ['overload', { load: 1.3, lateOrder: 0.02 }],
    ['uneven endpoints', { load: 0.9, speeds: UNEVEN, slowShare: 0.1 }],
    ['misjudged and crashing jobs', { load: 0.8, misjudgedShare: 0.2, fatalShare: 0.002 }],
  ]
  for (const [name, options] of plays) {
    it(`changes no decision of the leader itself under ${name}`, () => {
      // The other instance is there and hears, but never takes over.
      const takeover = { atMs: 1e9, gapMs: 0 }
      const play = (without: readonly Mechanism[]): LoadOutcome => {
        return playLoad({ ...options, takeover, without, playMs: 4_000 })
      }
      const [on, off] = [play([]), play([Mechanism.LeaderKnowledge])]
      const { hints_sent: sent, ...decided } = on.counted
      assert.ok(sent > 0)
      assert.deepEqual({ ...on, counted: decided }, { ...off, counted: withoutSent(off) })
    })
  }
})

function withoutSent({ counted }: LoadOutcome) {
  const { hints_sent: sent, ...decided } = counted
  assert.equal(sent, 0)
  return decided
}
