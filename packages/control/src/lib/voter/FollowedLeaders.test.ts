import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FollowedLeaders } from './FollowedLeaders'

describe('the time until which leaders were followed', () => {
  it('is undefined for a process that never followed a leader', () => {
    assert.equal(new FollowedLeaders().lastFollowedBefore(3), undefined)
  })

  it('is the last time of an earlier term, whether or not the new leader was followed yet', () => {
    const followed = new FollowedLeaders()
    followed.record(100, 1)
    followed.record(200, 1)
    assert.equal(followed.lastFollowedBefore(2), 200)
    followed.record(300, 2)
    assert.equal(followed.lastFollowedBefore(2), 200)
    assert.equal(followed.lastFollowedBefore(3), 300)
  })

  it('is not changed by a message of an older term', () => {
    const followed = new FollowedLeaders()
    followed.record(100, 2)
    followed.record(200, 1)
    assert.equal(followed.lastFollowedBefore(3), 100)
  })
})
