import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatSettingsProblem } from '../problems/SettingsProblem'
import { DispatchRole, parseDispatchSettings } from './dispatchSettings'

const common = {
  name: 'one',
  host: '10.1.0.13',
  zone: 'hall',
  linkPort: 7720,
  metricsPort: 7721,
  seeds: ['10.1.0.16:8166'],
  firstStart: true,
  heartbeatMs: 1_500,
  maxLeaseMs: 1_000,
  stopGraceMs: 6_000,
}
const entry = { ...common, callers: '10.1.0.13:8161', readiness: '10.1.0.13:8167' }
const dispatch = { ...common, control: '10.1.0.13:8166', dataFolder: '/data' }

/** The problems of settings, formatted as operators see them. */
function problemsOf(settings: object, role: DispatchRole): readonly string[] {
  const parsed = parseDispatchSettings(JSON.stringify(settings), 'one.jsonc', role)
  return parsed.ok ? [] : parsed.val.map(formatSettingsProblem)
}

describe('the settings of an entry or a dispatching instance', () => {
  it('are accepted when all settings that the role requires are present', () => {
    assert.deepEqual(problemsOf(entry, DispatchRole.Entry), [])
    assert.deepEqual(problemsOf(dispatch, DispatchRole.Dispatch), [])
    assert.deepEqual(problemsOf({ ...dispatch, toleratedLosses: 2 }, DispatchRole.Dispatch), [])
  })

  it('are refused when toleratedLosses is not a non-negative integer', () => {
    for (const toleratedLosses of [-1, 1.5]) {
      const problems = problemsOf({ ...dispatch, toleratedLosses }, DispatchRole.Dispatch)
      assert.match(problems.join(), /toleratedLosses/)
    }
  })

  it('are refused when resubmitDelayMs is negative', () => {
    const timed = { ...dispatch, resubmitDelayMs: 1_300 }
    assert.deepEqual(problemsOf(timed, DispatchRole.Dispatch), [])
    const problems = problemsOf({ ...timed, resubmitDelayMs: -1 }, DispatchRole.Dispatch)
    assert.match(problems.join(), /resubmitDelayMs/)
  })

  it('may contain unknown settings', () => {
    assert.deepEqual(problemsOf({ ...entry, later: 1 }, DispatchRole.Entry), [])
  })

  it('are refused with one problem for each missing setting that the role requires', () => {
    const problems = problemsOf(dispatch, DispatchRole.Entry)
    assert.equal(problems.length, 2)
    assert.match(problems.join(), /callers.*nothing.*readiness.*nothing/s)
    assert.match(problemsOf(entry, DispatchRole.Dispatch).join(), /control.*dataFolder/s)
  })

  it('are refused with the location of a value of the wrong type', () => {
    const [problem, ...more] = problemsOf({ ...entry, linkPort: 'x' }, DispatchRole.Entry)
    assert.deepEqual(more, [])
    assert.match(problem ?? '', /one\.jsonc.*linkPort/s)
  })
})
