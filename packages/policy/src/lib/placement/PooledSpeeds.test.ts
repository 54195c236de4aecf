import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@cherryhitch/model'
import { PooledSpeeds, SlownessTracker } from '../../index'

const SERVICE = 's'
const JOB_TASKS = 4
const ENDPOINTS = 12

/** Plays jobs whose tasks run at random endpoints; run times and estimates vary. */
class Endpoints {
  readonly speeds = new PooledSpeeds()
  private readonly random = seededRandom(5)
  private jobs = 0

  constructor(
    readonly slowness: readonly number[],
    private readonly labelsOf: (endpoint: number) => readonly string[] = () => [],
  ) {
    for (const endpoint of slowness.keys()) this.describe(endpoint)
  }

  describe(endpoint: number, incarnation = 0): void {
    const traits = { service: SERVICE, machine: `m${endpoint}`, labels: this.labelsOf(endpoint) }
    this.speeds.describe(`m${endpoint}~${incarnation}`, traits)
  }

  /** Jobs each of whose tasks runs at one of the given endpoints. */
  play(jobs: number, now = 0, among: readonly number[] = [...this.slowness.keys()]): void {
    for (let n = 0; n < jobs; n++) {
      const workMs = 200 * Math.exp(this.random() - 0.5)
      const job = `j${this.jobs++}`
      for (let task = 0; task < JOB_TASKS; task++) {
        const endpoint = among[Math.floor(this.random() * among.length)] ?? 0
        const runMs = workMs * (this.slowness[endpoint] ?? 1) * (0.9 + 0.2 * this.random())
        this.observe(now, endpoint, runMs, job)
      }
    }
  }

  observe(now: number, endpoint: number, runMs: number, job: string): void {
    const run = { endpoint: `m${endpoint}~0`, service: SERVICE, estimateMs: 200, runMs }
    this.speeds.observe(now, { ...run, job, jobTasks: JOB_TASKS })
  }

  slownessOf(endpoint: number, now = 1_000): number {
    return this.speeds.slowness(now, `m${endpoint}~0`)
  }

  /** Slowness of one endpoint as a multiple of that of another. */
  ratio(slow: number, fast: number, now = 1_000): number {
    return this.slownessOf(slow, now) / this.slownessOf(fast, now)
  }
}

const UNEVEN = Array.from({ length: ENDPOINTS }, (_, n) => [1 / 0.6, 1, 1 / 1.6][n % 3] ?? 1)

describe('the speeds of endpoints that differ much', () => {
  it('are told apart after about four runs at each, where jobs vary more than they do', () => {
    const endpoints = new Endpoints(UNEVEN)
    endpoints.play(ENDPOINTS)
    assert.ok(endpoints.speeds.spread(1_000, SERVICE).isUneven)
    for (const slow of [0, 3, 6, 9]) assert.ok(endpoints.ratio(slow, slow + 2) > 1.6)
  })

  it('are those of the tracker while endpoints differ by 1.6 at most', () => {
    const slowness = UNEVEN.map((one) => Math.sqrt(one))
    const endpoints = new Endpoints(slowness)
    const tracker = new SlownessTracker()
    endpoints.play(200)
    assert.ok(!endpoints.speeds.spread(1_000, SERVICE).isUneven)
    const [run] = [{ endpoint: 'm0~0', service: SERVICE, estimateMs: 200, runMs: 300 }]
    const fresh = new PooledSpeeds()
    fresh.observe(0, run)
    tracker.observe(0, run)
    assert.equal(fresh.slowness(0, 'm0~0'), tracker.slowness(0, 'm0~0'))
  })

  it('do not flap between the two ratios that call for them and end them', () => {
    const slowness = UNEVEN.map((one) => one ** 1.2)
    const endpoints = new Endpoints(slowness)
    endpoints.play(100)
    assert.ok(endpoints.speeds.spread(1_000, SERVICE).isUneven)
    const milder = UNEVEN.map((one) => one ** 0.53)
    Object.assign(endpoints.slowness, milder)
    endpoints.play(300, 1_000)
    const { isUneven, slowToFast } = endpoints.speeds.spread(2_000, SERVICE)
    assert.ok(slowToFast < 1.75 && slowToFast > 1.5 && isUneven, `${slowToFast}`)
    const fresh = new Endpoints(milder)
    fresh.play(300, 1_000)
    assert.ok(!fresh.speeds.spread(2_000, SERVICE).isUneven)
  })

  it('are expected of an endpoint without runs from those that share a label', () => {
    const endpoints = new Endpoints(UNEVEN, (n) => [`k${n % 3}`, `r${n}`])
    const known = [...UNEVEN.keys()].filter((n) => n !== 0 && n !== 2)
    endpoints.play(60, 0, known)
    assert.ok(endpoints.ratio(0, 2) > 1.5)
  })

  it('change little by one run that takes seven times as long', () => {
    const endpoints = new Endpoints(UNEVEN)
    endpoints.play(60)
    const before = endpoints.slownessOf(1, 1_000)
    for (const [task, factor] of [7, 1, 1, 1].entries()) {
      endpoints.observe(1_000, task === 0 ? 1 : 4, 200 * factor, 'long')
    }
    assert.ok(endpoints.slownessOf(1, 2_000) < 1.2 * before)
  })

  it('follow an endpoint that becomes slow no later than the tracker does', () => {
    const endpoints = new Endpoints(UNEVEN)
    const tracker = new SlownessTracker()
    endpoints.play(60)
    for (const n of UNEVEN.keys()) {
      for (let run = 0; run < 20; run++) {
        const peer = { endpoint: `m${n}~0`, service: SERVICE, estimateMs: 200 }
        tracker.observe(0, { ...peer, runMs: 200 * (UNEVEN[n] ?? 1) })
      }
    }
    const notices = { pooled: 0, tracker: 0 }
    for (let run = 1; run <= 40; run++) {
      const now = 1_000 + 200 * run
      for (let task = 0; task < JOB_TASKS; task++) {
        endpoints.observe(now, task === 0 ? 1 : 4, task === 0 ? 1_600 : 200, `slow${run}`)
      }
      tracker.observe(now, { endpoint: 'm1~0', service: SERVICE, estimateMs: 200, runMs: 1_600 })
      if (endpoints.slownessOf(1, now) < 2) notices.pooled = run
      if (tracker.slowness(now, 'm1~0') < 2) notices.tracker = run
    }
    assert.ok(notices.pooled <= notices.tracker, JSON.stringify(notices))
  })

  it('stay known when the endpoint comes back as another incarnation of its machine', () => {
    const endpoints = new Endpoints(UNEVEN)
    endpoints.play(60)
    const before = endpoints.slownessOf(0)
    endpoints.speeds.remove('m0~0')
    endpoints.describe(0, 1)
    assert.ok(Math.abs(endpoints.speeds.slowness(1_000, 'm0~1') / before - 1) < 0.1)
  })

  it('are expected to be average again without runs for long', () => {
    const endpoints = new Endpoints(UNEVEN)
    endpoints.play(60)
    assert.ok(endpoints.ratio(0, 2, 400_000) < 1.05)
  })

  it('are taken over from the leader before', () => {
    const endpoints = new Endpoints(UNEVEN)
    endpoints.play(60)
    const next = new Endpoints(UNEVEN)
    next.speeds.merge(1_000, endpoints.speeds.snapshot(1_000))
    assert.ok(next.speeds.spread(1_000, SERVICE).isUneven)
    assert.ok(next.ratio(0, 2) > 1.6)
  })
})
