import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { VoterStatusSchema } from '@cherryhitch/protocol'
import type { VoterStatus } from '@cherryhitch/protocol'
import { heardProxies } from './heardProxies'

function member(instance: string, silentMs: number, matchIndex = 7): VoterStatus {
  return create(VoterStatusSchema, { instance, diskId: `${instance}-disk`, silentMs, matchIndex })
}

const proxies = ['a', 'b', 'c'].map((instance) => ({ instance, zone: 'z' }))
const names = (members: readonly VoterStatus[]): string[] => {
  return heardProxies(proxies, members).map(({ instance }) => instance)
}

describe('proxies', () => {
  it('are those whose voters answer the leader of the log', () => {
    assert.deepEqual(names([member('a', 40), member('b', 60), member('c', 0)]), ['a', 'b', 'c'])
  })

  it('are left out once they are behind a cut, before an announcement is missed', () => {
    assert.deepEqual(names([member('a', 40), member('b', 300), member('c', 0)]), ['a', 'c'])
  })

  it('are left out while they have answered nothing in the term of a new leader', () => {
    assert.deepEqual(names([member('a', 0, -1), member('b', 0)]), ['b'])
  })

  it('are all kept when the leader itself stood still and has heard nobody', () => {
    assert.deepEqual(names([member('a', 900), member('b', 930), member('c', 880)]), ['a', 'b', 'c'])
  })

  it('are none while nobody has answered in this term', () => {
    assert.deepEqual(names([member('a', 0, -1), member('b', 0, -1)]), [])
  })

  it('count by their new disk when the old one is still listed', () => {
    assert.deepEqual(names([member('a', 9_000, -1), member('a', 10)]), ['a'])
  })
})
