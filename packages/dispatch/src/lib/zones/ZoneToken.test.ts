import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { grantOfToken, makeFencingToken, MAX_GRANT, termOfToken } from '../endpoints/fencingToken'
import { MAX_ZONE_RANKS, nextLeaderGrant, nextZoneGrant } from './ZoneToken'

const TERM = 7
const MANY_INCARNATIONS = 1e9

describe('fencing tokens of zone dispatchers', () => {
  it('beat those of the leader whose endpoints they take, however many incarnations it counted', () => {
    for (let rank = 0; rank < MAX_ZONE_RANKS; rank++) {
      const grant = nextZoneGrant(0, rank)
      assert.ok(grant !== undefined)
      assert.ok(makeFencingToken(TERM, 0, grant) > makeFencingToken(TERM, MANY_INCARNATIONS, 0))
    }
  })

  it('are beaten by every token of the next term, also of a build that knows no grants', () => {
    assert.ok((TERM + 1) * 2 ** 20 > makeFencingToken(TERM, MANY_INCARNATIONS, MAX_GRANT))
  })

  it('never are the same for two instances, nor for an instance and a leader', () => {
    const grants = new Set<number>()
    for (let rank = 0; rank < MAX_ZONE_RANKS; rank++) {
      let above = 0
      for (let grant = nextZoneGrant(above, rank); grant !== undefined;) {
        assert.ok(grant > above && !grants.has(grant))
        assert.ok(nextLeaderGrant(grant) > grant && nextLeaderGrant(grant) <= MAX_GRANT)
        assert.notEqual(nextLeaderGrant(grant), grant)
        grants.add(grant)
        above = grant
        grant = nextZoneGrant(above, rank)
      }
    }
    for (const grant of grants) assert.ok(!grants.has(nextLeaderGrant(grant)))
  })

  it('leave the tokens of leaders as they were', () => {
    assert.equal(makeFencingToken(TERM, 5), TERM * 2 ** 20 + 5)
    assert.equal(makeFencingToken(TERM, 5, 0), makeFencingToken(TERM, 5))
    // More incarnations than a grant has numbers: a long term of a large deployment.
    assert.equal(makeFencingToken(TERM, 40_000), TERM * 2 ** 20 + 40_000)
    assert.equal(grantOfToken(makeFencingToken(TERM, 5, 9)), 9)
    assert.equal(termOfToken(makeFencingToken(TERM, 5, 9)), TERM)
  })
})
