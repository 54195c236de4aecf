import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { CallerAttempt } from './CallerLedger'
import { CallerLedger, CallerOutcome } from './CallerLedger'
import { EndpointLedger, OveruseKind, RunEnd } from './EndpointLedger'
import { Invariant, checkLedgers } from './checkLedgers'

const JOB = 'i1.1.1'
const OTHER_JOB = 'i2.1.1'
const DUE = 1000

/** Runs a task to its end at an endpoint with two slots. */
function run(ledger: EndpointLedger, taskId: string, token: string, at = DUE): void {
  ledger.recordEndpoint('e1', 2)
  ledger.recordEnd(ledger.recordStart(taskId, token, 'e1', at), RunEnd.Succeeded, at + 10)
}

function attempt(change: Partial<CallerAttempt>): CallerAttempt {
  return {
    submission: 's1',
    caller: 'desk',
    key: 'k1',
    idempotent: false,
    tokens: ['t0', 't1'],
    attempt: 1,
    instance: 'i1',
    dueAt: DUE,
    sentAt: DUE,
    endedAt: DUE + 50,
    outcome: CallerOutcome.Answered,
    status: 200,
    jobId: JOB,
    detail: '',
    retryAfterMs: 0,
    outputs: [
      { token: 't0', taskId: `${JOB}.0` },
      { token: 't1', taskId: `${JOB}.1` },
    ],
    ...change,
  }
}

function runBoth(ledger: EndpointLedger): void {
  run(ledger, `${JOB}.0`, 't0')
  run(ledger, `${JOB}.1`, 't1')
}

const refused = { outcome: CallerOutcome.NotRun, status: 429, outputs: [] }
const broken = { outcome: CallerOutcome.Broken, status: 0, jobId: '', outputs: [] }

interface Case {
  name: string
  seen: (ledger: EndpointLedger) => void
  told: CallerAttempt[]
  found: Invariant[]
}

const cases: Case[] = [
  { name: 'a whole answer', seen: runBoth, told: [attempt({})], found: [] },
  {
    name: 'a refusal without a run',
    seen: () => undefined,
    told: [attempt(refused)],
    found: [],
  },
  {
    name: 'a run that a later attempt explains',
    seen: (ledger) => {
      run(ledger, `${OTHER_JOB}.0`, 't0', DUE + 500)
      run(ledger, `${OTHER_JOB}.1`, 't1', DUE + 500)
    },
    told: [
      attempt(refused),
      attempt({
        sentAt: DUE + 400,
        endedAt: DUE + 600,
        jobId: OTHER_JOB,
        outputs: [
          { token: 't0', taskId: `${OTHER_JOB}.0` },
          { token: 't1', taskId: `${OTHER_JOB}.1` },
        ],
      }),
    ],
    found: [],
  },
  {
    name: 'an idempotent job that ran again after a lost answer',
    seen: (ledger) => {
      run(ledger, `${OTHER_JOB}.0`, 't0')
      run(ledger, `${OTHER_JOB}.1`, 't1')
      run(ledger, `${JOB}.0`, 't0', DUE + 500)
      run(ledger, `${JOB}.1`, 't1', DUE + 500)
    },
    told: [
      attempt({ ...broken, idempotent: true }),
      attempt({ idempotent: true, endedAt: DUE + 600 }),
    ],
    found: [],
  },
  {
    name: 'slots that are taken at the instant they are freed',
    seen: (ledger) => {
      run(ledger, `${OTHER_JOB}.0`, 'x0', DUE + 10)
      run(ledger, `${OTHER_JOB}.1`, 'x1', DUE + 10)
      runBoth(ledger)
    },
    told: [attempt({})],
    found: [],
  },
  {
    name: 'a task id that started twice',
    seen: (ledger) => {
      runBoth(ledger)
      run(ledger, `${JOB}.1`, 't1', DUE + 20)
    },
    told: [attempt({ idempotent: true })],
    found: [Invariant.DoubleStart],
  },
  {
    name: 'a non-idempotent key that ran under two jobs',
    seen: (ledger) => {
      run(ledger, `${OTHER_JOB}.0`, 't0')
      run(ledger, `${JOB}.0`, 't0', DUE + 500)
      run(ledger, `${JOB}.1`, 't1', DUE + 500)
    },
    told: [attempt(broken), attempt({ endedAt: DUE + 600 })],
    found: [Invariant.DoubleRun],
  },
  {
    name: 'an answer that lacks an output',
    seen: runBoth,
    told: [attempt({ outputs: [{ token: 't0', taskId: `${JOB}.0` }] })],
    found: [Invariant.PartialAnswer],
  },
  {
    name: 'an answer with an empty output',
    seen: runBoth,
    told: [
      attempt({
        outputs: [
          { token: 't0', taskId: `${JOB}.0` },
          { token: '', taskId: '' },
        ],
      }),
    ],
    found: [Invariant.PartialAnswer],
  },
  {
    name: "another request's output",
    seen: (ledger) => {
      runBoth(ledger)
      run(ledger, `${OTHER_JOB}.1`, 'x1', DUE + 500)
    },
    told: [
      attempt({
        outputs: [
          { token: 't0', taskId: `${JOB}.0` },
          { token: 'x1', taskId: `${OTHER_JOB}.1` },
        ],
      }),
    ],
    found: [Invariant.ForeignAnswer],
  },
  {
    name: 'outputs in the wrong order',
    seen: runBoth,
    told: [
      attempt({
        outputs: [
          { token: 't1', taskId: `${JOB}.1` },
          { token: 't0', taskId: `${JOB}.0` },
        ],
      }),
    ],
    found: [Invariant.ForeignAnswer, Invariant.ForeignAnswer],
  },
  {
    name: 'an output that no endpoint completed',
    seen: (ledger) => {
      run(ledger, `${JOB}.0`, 't0')
    },
    told: [attempt({})],
    found: [Invariant.AnswerWithoutRun],
  },
  {
    name: 'an output of a task that failed',
    seen: (ledger) => {
      run(ledger, `${JOB}.0`, 't0')
      ledger.recordEnd(ledger.recordStart(`${JOB}.1`, 't1', 'e1', DUE), RunEnd.Failed, DUE + 10)
    },
    told: [attempt({})],
    found: [Invariant.AnswerWithoutRun],
  },
  {
    name: 'a run behind "not run"',
    seen: (ledger) => {
      run(ledger, `${JOB}.0`, 't0')
    },
    told: [attempt({ ...refused, jobId: '' })],
    found: [Invariant.RunBehindNotRun],
  },
  {
    name: 'a run under the job that was refused, though a later attempt succeeded',
    seen: (ledger) => {
      run(ledger, `${OTHER_JOB}.0`, 't0', DUE + 10)
      run(ledger, `${JOB}.0`, 't0', DUE + 500)
      run(ledger, `${JOB}.1`, 't1', DUE + 500)
    },
    told: [
      attempt({ ...refused, jobId: OTHER_JOB, idempotent: true }),
      attempt({ sentAt: DUE + 400, endedAt: DUE + 600, idempotent: true }),
    ],
    found: [Invariant.RunBehindNotRun],
  },
  {
    name: 'a run under the job that was refused, though another attempt was lost',
    seen: (ledger) => {
      run(ledger, `${OTHER_JOB}.0`, 't0', DUE + 10)
    },
    told: [attempt(broken), attempt({ ...refused, jobId: OTHER_JOB })],
    found: [Invariant.RunBehindNotRun],
  },
  {
    name: 'a run under a job that nobody was told of',
    seen: (ledger) => {
      runBoth(ledger)
      run(ledger, 'i3.1.1.0', 't0', DUE + 20)
    },
    told: [attempt({ ...refused, jobId: '', idempotent: true }), attempt({ idempotent: true })],
    found: [Invariant.RunBehindNotRun],
  },
  {
    name: 'a run that only an attempt that sent nothing could explain',
    seen: (ledger) => {
      run(ledger, `${JOB}.0`, 't0')
    },
    told: [
      attempt({ ...broken, outcome: CallerOutcome.NotConnected }),
      attempt({ ...refused, jobId: '' }),
    ],
    found: [Invariant.RunBehindNotRun],
  },
  {
    name: 'a run before the only attempt that could explain it',
    seen: (ledger) => {
      run(ledger, `${OTHER_JOB}.0`, 't0', DUE + 10)
    },
    told: [
      attempt({ ...refused, jobId: '' }),
      attempt({ ...broken, sentAt: DUE + 400, endedAt: DUE + 600 }),
    ],
    found: [Invariant.RunBehindNotRun],
  },
  {
    name: 'an answer without `ran`',
    seen: () => undefined,
    told: [attempt({ outcome: CallerOutcome.Malformed, status: 500, outputs: [] })],
    found: [Invariant.MalformedAnswer],
  },
  {
    name: 'more runs at once than slots, whatever the endpoint says',
    seen: (ledger) => {
      runBoth(ledger)
      run(ledger, `${OTHER_JOB}.0`, 'x0')
    },
    told: [attempt({})],
    found: [Invariant.SlotOveruse],
  },
]

const overuses: [OveruseKind, Invariant][] = [
  [OveruseKind.Connections, Invariant.ConnectionOveruse],
  [OveruseKind.Slots, Invariant.SlotOveruse],
  [OveruseKind.Cores, Invariant.CapacityOveruse],
  [OveruseKind.Memory, Invariant.CapacityOveruse],
  [OveruseKind.WorkAfterLeaving, Invariant.WorkAfterLeaving],
]
for (const [kind, invariant] of overuses) {
  cases.push({
    name: `an endpoint's record of ${kind}`,
    seen: (ledger) => {
      const overuse = { kind, endpoint: 'e1', taskId: '', at: DUE, found: 3, allowed: 2 }
      ledger.recordOveruse(overuse)
    },
    told: [],
    found: [invariant],
  })
}

describe('the check of the ledgers', () => {
  for (const { name, seen, told, found } of cases) {
    it(`${found.length === 0 ? 'accepts' : 'finds'} ${name}`, () => {
      const endpoints = new EndpointLedger()
      const callers = new CallerLedger()
      seen(endpoints)
      for (const one of told) callers.recordAttempt(one)
      const report = checkLedgers(endpoints, callers)
      const invariants = report.violations.map(({ invariant }) => invariant)
      assert.deepEqual(invariants, found)
      assert.equal(report.holds, found.length === 0)
    })
  }

  it('has a case for every kind of violation', () => {
    const covered = new Set(cases.flatMap(({ found }) => found))
    assert.deepEqual([...covered].sort(), Object.values(Invariant).sort())
  })

  it('names the ids of what it found', () => {
    const endpoints = new EndpointLedger()
    const callers = new CallerLedger()
    run(endpoints, `${JOB}.0`, 't0')
    callers.recordAttempt(attempt(refused))
    const [found] = checkLedgers(endpoints, callers).violations
    assert.deepEqual(
      [found?.submission, found?.jobId, found?.taskId, found?.endpoint],
      ['s1', JOB, `${JOB}.0`, 'e1'],
    )
  })

  it('finds the same after the ledger went through another process', () => {
    const there = new EndpointLedger()
    run(there, `${JOB}.0`, 't0')
    run(there, `${JOB}.0`, 't0', DUE + 20)
    const here = new EndpointLedger()
    const text = JSON.stringify(there.toData())
    here.absorb(JSON.parse(text) as ReturnType<EndpointLedger['toData']>)
    const { counts } = checkLedgers(here, new CallerLedger())
    assert.equal(counts[Invariant.DoubleStart], 1)
    assert.equal(here.trace(`${JOB}.0`).starts, 2)
  })
})
