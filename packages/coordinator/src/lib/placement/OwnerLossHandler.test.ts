import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FenceState, JobState, Outcome, Reason } from '@cherryhitch/protocol'
import type { MemberInit } from '../fixtures/CoordinatorFixture'
import {
  CoordinatorFixture,
  makeSpec,
  notRun,
  SELF,
  succeeded,
} from '../fixtures/CoordinatorFixture'

/** Lease, margin and one tick. */
const LEASE_END_MS = 3320
const RETRY_MS = 2500

const self: MemberInit = { instance: SELF, slots: 0 }

/** Places a job of two tasks at `a2`; `b2` offers the service only afterwards. */
function placedAtA2(): CoordinatorFixture {
  const fixture = new CoordinatorFixture()
  fixture.members(self, { instance: 'a2' })
  fixture.submit(makeSpec({ tasks: 2 }))
  fixture.members(self, { instance: 'a2' }, { instance: 'b2', zone: 'b' })
  return fixture
}

function view(fixture: CoordinatorFixture, a2: Partial<MemberInit>): void {
  fixture.members(self, { instance: 'a2', ...a2 }, { instance: 'b2', zone: 'b' })
}

describe('an owner that becomes unreachable', () => {
  it('fails no task before its lease can expire, and is queried when it returns', () => {
    const fixture = placedAtA2()
    const heardAt = fixture.now
    fixture.advance(1000)
    view(fixture, { alive: false, heardAt })
    fixture.advance(1000)
    assert.deepEqual(fixture.replies('r1'), [])
    view(fixture, {})
    const [query] = fixture.sent('fenceTasks')
    assert.equal(query?.to, 'a2')
    assert.deepEqual(query.value.indexes, [0, 1])
    fixture.fence('a2', fixture.jobId, FenceState.IN_PROGRESS, 0, 1)
    fixture.report('a2', fixture.jobId, succeeded(0), succeeded(1))
    assert.equal(fixture.reply('r1')?.state, JobState.SUCCEEDED)
  })

  it('gives its tasks an unknown outcome at lease expiry; they are never placed again', () => {
    const fixture = placedAtA2()
    const heardAt = fixture.now
    fixture.advance(1000)
    view(fixture, { alive: false, heardAt })
    fixture.advance(heardAt + 3290 - fixture.now)
    assert.deepEqual(fixture.replies('r1'), [])
    fixture.advance(40)
    assert.equal(fixture.reply('r1')?.outcome, Outcome.UNKNOWN)
    assert.equal(fixture.reply('r1')?.reason, Reason.OWNER_LOST)
    assert.deepEqual(fixture.placed, ['a2:0,1'])
    assert.equal(fixture.machine.counters.tasksLost, 2)
  })

  it('gets a new lease period when it returned in between', () => {
    const fixture = placedAtA2()
    view(fixture, { alive: false, heardAt: fixture.now })
    fixture.advance(3000)
    view(fixture, {})
    view(fixture, { alive: false, heardAt: fixture.now })
    fixture.advance(1000)
    assert.deepEqual(fixture.replies('r1'), [])
    fixture.advance(LEASE_END_MS)
    assert.equal(fixture.reply('r1')?.reason, Reason.OWNER_LOST)
  })

  it('has its zone queried, as a draining owner may have passed its queue on', () => {
    const fixture = placedAtA2()
    const lost: MemberInit = { instance: 'a2', alive: false, heardAt: fixture.now }
    fixture.members(self, lost, { instance: 'a3' }, { instance: 'b2', zone: 'b' })
    const queried = fixture.sent('fenceTasks').map(({ to }) => to)
    assert.deepEqual(queried.sort(), [SELF, 'a3'])
    fixture.fence('a3', fixture.jobId, FenceState.IN_PROGRESS, 0, 1)
    fixture.fence(SELF, fixture.jobId, FenceState.NEVER_SEEN, 0, 1)
    fixture.advance(LEASE_END_MS)
    assert.deepEqual(fixture.replies('r1'), [])
    fixture.report('a3', fixture.jobId, succeeded(0), succeeded(1))
    assert.equal(fixture.reply('r1')?.state, JobState.SUCCEEDED)
  })
})

describe('an owner that passed tasks on', () => {
  it('is not given them again when the next owner refuses them', () => {
    const fixture = placedAtA2()
    const members = [self, { instance: 'a2' }, { instance: 'a3' }, { instance: 'b2', zone: 'b' }]
    fixture.members(...members)
    fixture.fence('a3', fixture.jobId, FenceState.IN_PROGRESS, 0, 1)
    fixture.report('a3', fixture.jobId, notRun(0), notRun(1))
    fixture.advance(RETRY_MS)
    assert.deepEqual(fixture.placed, ['a2:0,1', 'b2:0,1'])
  })
})

describe('an owner that never saw the tasks', () => {
  it('is trusted once a later view shows the boot that was queried', () => {
    const fixture = placedAtA2()
    fixture.fence('a2', fixture.jobId, FenceState.NEVER_SEEN, 0, 1)
    fixture.advance(RETRY_MS)
    assert.deepEqual(fixture.placed, ['a2:0,1'])
    view(fixture, {})
    fixture.advance(RETRY_MS)
    assert.deepEqual(fixture.placed, ['a2:0,1', 'b2:0,1'])
    fixture.report('b2', fixture.jobId, succeeded(0), succeeded(1))
    assert.equal(fixture.reply('r1')?.state, JobState.SUCCEEDED)
  })

  it('is trusted at once when it is the local instance', () => {
    const fixture = new CoordinatorFixture()
    fixture.members({ instance: SELF })
    fixture.submit(makeSpec())
    fixture.fence(SELF, fixture.jobId, FenceState.NEVER_SEEN, 0)
    fixture.advance(RETRY_MS)
    assert.equal(fixture.reply('r1')?.outcome, Outcome.NOT_RUN)
  })

  it('is not trusted after a restart, as the earlier boot may have started them', () => {
    const fixture = placedAtA2()
    fixture.fence('a2', fixture.jobId, FenceState.NEVER_SEEN, 0, 1)
    fixture.advance(10)
    view(fixture, { boot: 2 })
    fixture.fence('a2', fixture.jobId, FenceState.NEVER_SEEN, 0, 1)
    fixture.advance(100)
    view(fixture, { boot: 2 })
    fixture.advance(3150)
    assert.deepEqual(fixture.replies('r1'), [])
    fixture.advance(200)
    assert.equal(fixture.reply('r1')?.outcome, Outcome.UNKNOWN)
    assert.equal(fixture.reply('r1')?.reason, Reason.OWNER_LOST)
    assert.deepEqual(fixture.placed, ['a2:0,1'])
  })

  it('is not trusted after an earlier boot of it reported that it has them', () => {
    const fixture = placedAtA2()
    view(fixture, { boot: 2 })
    fixture.fence('a2', fixture.jobId, FenceState.IN_PROGRESS, 0, 1)
    fixture.fence('a2', fixture.jobId, FenceState.NEVER_SEEN, 0, 1)
    fixture.advance(10)
    view(fixture, { boot: 2 })
    fixture.advance(3200)
    assert.deepEqual(fixture.replies('r1'), [])
    fixture.advance(200)
    assert.equal(fixture.reply('r1')?.reason, Reason.OWNER_LOST)
    assert.equal(fixture.reply('r1')?.outcome, Outcome.UNKNOWN)
    assert.deepEqual(fixture.placed, ['a2:0,1'])
  })

  it('is not trusted when its record of them may have expired', () => {
    const fixture = new CoordinatorFixture()
    fixture.members(self, { instance: 'a2' })
    const request = fixture.submit(makeSpec({ deadlineInMs: 100_000 }))
    fixture.advance(51_000)
    fixture.members(self, { instance: 'a2' }, { instance: 'b2', zone: 'b' })
    fixture.fence('a2', fixture.jobId, FenceState.NEVER_SEEN, 0)
    fixture.advance(10)
    view(fixture, {})
    fixture.advance(LEASE_END_MS)
    assert.deepEqual(fixture.placed, ['a2:0'])
    assert.equal(fixture.reply(request)?.outcome, Outcome.UNKNOWN)
  })

  it('proves nothing when another owner has them', () => {
    const fixture = placedAtA2()
    fixture.fence('b2', fixture.jobId, FenceState.NEVER_SEEN, 0, 1)
    fixture.advance(10)
    view(fixture, {})
    fixture.advance(RETRY_MS)
    assert.deepEqual(fixture.placed, ['a2:0,1'])
  })

  it('does not cause an ended job to be placed again', () => {
    const fixture = placedAtA2()
    fixture.fence('a2', fixture.jobId, FenceState.NEVER_SEEN, 0, 1)
    fixture.callerGone('r1')
    fixture.advance(10)
    view(fixture, {})
    fixture.advance(RETRY_MS)
    assert.deepEqual(fixture.placed, ['a2:0,1'])
  })
})

describe('an owner that restarted', () => {
  it('keeps tasks that arrived at its new boot', () => {
    const fixture = placedAtA2()
    view(fixture, { boot: 2 })
    assert.equal(fixture.sent('fenceTasks').at(-1)?.to, 'a2')
    fixture.fence('a2', fixture.jobId, FenceState.IN_PROGRESS, 0, 1)
    fixture.advance(LEASE_END_MS)
    assert.deepEqual(fixture.replies('r1'), [])
    fixture.report('a2', fixture.jobId, succeeded(0), succeeded(1))
    assert.equal(fixture.reply('r1')?.state, JobState.SUCCEEDED)
  })
})

describe('a task that is much later than expected', () => {
  it('is queried at growing intervals, with one message for each owner and job', () => {
    const fixture = placedAtA2()
    fixture.advance(990)
    assert.equal(fixture.sent('fenceTasks').length, 0)
    fixture.advance(30)
    assert.equal(fixture.sent('fenceTasks').length, 1)
    fixture.advance(8900)
    assert.equal(fixture.sent('fenceTasks').length, 4)
    assert.deepEqual(fixture.sent('fenceTasks')[0]?.value.indexes, [0, 1])
  })
})
