import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FollowedLeaders } from './FollowedLeaders'

describe('until when leaders were followed', () => {
  it('is unknown to a process that never followed one', () => {
    assert.equal(new FollowedLeaders().before(3), undefined)
  })

  it('is the last time of an earlier term, whether or not the new one was followed already', () => {
    const followed = new FollowedLeaders()
    followed.note(100, 1)
    followed.note(200, 1)
    assert.equal(followed.before(2), 200)
    followed.note(300, 2)
    assert.equal(followed.before(2), 200)
    assert.equal(followed.before(3), 300)
  })

  it('does not go back for a message of an old term', () => {
    const followed = new FollowedLeaders()
    followed.note(100, 2)
    followed.note(200, 1)
    assert.equal(followed.before(3), 100)
  })
})
