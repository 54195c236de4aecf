import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { hash32 } from '@cherryhitch/model'
import {
  EnvelopeSchema,
  OpenJobsSchema,
  ReadOpenJobsSchema,
  wrapMessage,
} from '@cherryhitch/protocol'
import type { OpenJobs } from '@cherryhitch/protocol'
import { DispatchCore } from '../DispatchCore'
import { EarlierJobs } from './EarlierJobs'
import { decodeHashes, encodeHashes } from './hashBytes'
import { JobOrigin } from './JobOrigin'

const RESUBMIT_DELAY_MS = 1_300
const ELECTED_AT = 10_000
const NO_JOBS = { jobs: [], foreignRuns: [] }

/** A new leader that doesn't know all endpoints, so that runs may go on somewhere. */
function makeLeader(resubmitDelayMs = RESUBMIT_DELAY_MS) {
  const core = new DispatchCore({ timing: { resubmitDelayMs } })
  core.term = 2
  core.earlierLeadersConfirmedUntil = ELECTED_AT - 300
  return { core, earlier: new EarlierJobs(core) }
}

interface ListFields {
  readonly completeMsAgo?: number
  readonly attempts?: number
  readonly ids?: readonly string[]
}

function openJobs(askedAt: number, { ids = ['listed'], ...more }: ListFields = {}): OpenJobs {
  const jobs = encodeHashes(new Set(ids.map((id) => hash32(id))))
  return create(OpenJobsSchema, { askedAt, attempts: 1, ...more, jobs })
}

describe('the origin of a job that a new leader does not know', () => {
  it('is an earlier leader if its list holds the job', () => {
    const { earlier } = makeLeader()
    earlier.onReport(openJobs(9_500, { completeMsAgo: 0, attempts: 3 }))
    assert.equal(earlier.originOf(ELECTED_AT, 'listed', ELECTED_AT), JobOrigin.Earlier)
    assert.equal(earlier.attempts, 3)
  })

  it('is new if it arrives before a caller would submit an unlisted job again', () => {
    const { earlier } = makeLeader()
    earlier.onReport(openJobs(9_500, { completeMsAgo: 60 }))
    // An entry may have been lost up to 200 ms before its last jobs reached the leader.
    const resubmittedFrom = 9_500 - 60 - 200 + RESUBMIT_DELAY_MS
    assert.equal(earlier.originOf(ELECTED_AT, 'other', resubmittedFrom - 1), JobOrigin.New)
    assert.equal(earlier.originOf(ELECTED_AT, 'other', resubmittedFrom), JobOrigin.Unknown)
  })

  it('is unknown without a list, with an incomplete one, and if callers promise no delay', () => {
    const { earlier } = makeLeader()
    assert.equal(earlier.originOf(ELECTED_AT, 'other', ELECTED_AT), JobOrigin.Unknown)
    earlier.onReport(openJobs(9_900))
    assert.equal(earlier.originOf(ELECTED_AT, 'other', ELECTED_AT), JobOrigin.Unknown)
    const hasty = makeLeader(0).earlier
    hasty.onReport(openJobs(9_900, { completeMsAgo: 0 }))
    assert.equal(hasty.originOf(ELECTED_AT, 'other', ELECTED_AT), JobOrigin.Unknown)
  })

  it('is new once all orders of earlier leaders have expired', () => {
    const { core, earlier } = makeLeader()
    earlier.onReport(openJobs(9_500, { completeMsAgo: 0 }))
    const { leaderLeaseMs, clockDrift } = core.timing
    const overAt = core.earlierLeadersConfirmedUntil + leaderLeaseMs * (1 + clockDrift)
    assert.equal(earlier.originOf(overAt - 1, 'listed', overAt - 1), JobOrigin.Earlier)
    assert.equal(earlier.originOf(overAt, 'listed', overAt), JobOrigin.New)
  })

  it('follows the most complete list, in whatever order the lists arrive', () => {
    const { earlier } = makeLeader()
    earlier.onReport(openJobs(9_500, { completeMsAgo: 0 }))
    earlier.onReport(openJobs(9_400, { completeMsAgo: 0, ids: [] }))
    assert.equal(earlier.originOf(ELECTED_AT, 'listed', ELECTED_AT), JobOrigin.Earlier)
  })
})

describe('the list that a leader passes on', () => {
  const req = create(ReadOpenJobsSchema, { askedAt: 77, fromBoot: 5 })

  it('arrives at another instance as it was sent', () => {
    const { core, earlier } = makeLeader()
    core.confirmedAt = ELECTED_AT
    core.earlierLeadersConfirmedUntil = -Infinity
    const foreignRuns = [{ name: 'listed.0.0.0' }, { name: 'other.0.0.0' }]
    const value = earlier.report(ELECTED_AT, req, { jobs: [], foreignRuns })
    const bytes = toBinary(EnvelopeSchema, wrapMessage({ case: 'openJobs', value }))
    const { body } = fromBinary(EnvelopeSchema, bytes)
    assert.deepEqual(body.value, create(OpenJobsSchema, value))
    assert.equal(value.jobs.length, 8)
  })

  it('is not complete beyond the time at which a majority confirmed the leader', () => {
    const { core, earlier } = makeLeader()
    core.earlierLeadersConfirmedUntil = -Infinity
    core.confirmedAt = ELECTED_AT - 40
    const list = earlier.report(ELECTED_AT, req, NO_JOBS)
    assert.equal(list.completeMsAgo, 40)
    assert.deepEqual([list.askedAt, list.fromBoot], [77, 5])
  })

  it('holds the list of the leader before it until all runs are known', () => {
    const { core, earlier } = makeLeader()
    core.confirmedAt = ELECTED_AT
    earlier.onReport(openJobs(9_500, { completeMsAgo: 0, attempts: 2 }))
    const list = earlier.report(ELECTED_AT, req, NO_JOBS)
    assert.deepEqual([list.completeMsAgo, list.attempts], [500, 3])
    assert.deepEqual([...decodeHashes(list.jobs)], [hash32('listed')])
    core.earlierLeadersConfirmedUntil = -Infinity
    const later = earlier.report(ELECTED_AT, req, NO_JOBS)
    assert.deepEqual([later.completeMsAgo, later.jobs.length], [0, 0])
  })

  it('says that it is incomplete if the leader knows no list of the one before it', () => {
    const { core, earlier } = makeLeader()
    core.confirmedAt = ELECTED_AT
    assert.equal(earlier.report(ELECTED_AT, req, NO_JOBS).completeMsAgo, undefined)
  })

  it('is kept by a leader that steps down and leads again', () => {
    const { core, earlier } = makeLeader()
    core.earlierLeadersConfirmedUntil = -Infinity
    core.confirmedAt = ELECTED_AT
    earlier.onStepDown(ELECTED_AT, { jobs: [], foreignRuns: [{ name: 'j.0.0.0' }] })
    core.earlierLeadersConfirmedUntil = ELECTED_AT
    assert.equal(earlier.originOf(ELECTED_AT + 1, 'j', ELECTED_AT), JobOrigin.Earlier)
    assert.equal(earlier.originOf(ELECTED_AT + 1, 'k', ELECTED_AT), JobOrigin.New)
  })
})
