import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { VoterStatusSchema } from '@cherryhitch/protocol'
import type { VoterStatus } from '@cherryhitch/protocol'
import { reachableProxies } from './reachableProxies'

function member(instance: string, silentMs: number, matchIndex = 7): VoterStatus {
  return create(VoterStatusSchema, { instance, diskId: `${instance}-disk`, silentMs, matchIndex })
}

const proxies = ['a', 'b', 'c'].map((instance) => ({ instance, zone: 'z' }))
const names = (members: readonly VoterStatus[]): string[] => {
  return reachableProxies(proxies, members).map(({ instance }) => instance)
}

describe('proxies', () => {
  it('are selected if their voters answer the leader of the control log', () => {
    assert.deepEqual(names([member('a', 40), member('b', 60), member('c', 0)]), ['a', 'b', 'c'])
  })

  it('are excluded when partitioned, before they miss an announcement', () => {
    assert.deepEqual(names([member('a', 40), member('b', 300), member('c', 0)]), ['a', 'c'])
  })

  it('are excluded until they have answered in the term of a new leader', () => {
    assert.deepEqual(names([member('a', 0, -1), member('b', 0)]), ['b'])
  })

  it('are all selected when the leader itself was paused and has heard from nobody', () => {
    assert.deepEqual(names([member('a', 900), member('b', 930), member('c', 880)]), ['a', 'b', 'c'])
  })

  it('are all excluded while nobody has answered in this term', () => {
    assert.deepEqual(names([member('a', 0, -1), member('b', 0, -1)]), [])
  })

  it('are judged by their new disk while the old one is still listed', () => {
    assert.deepEqual(names([member('a', 9_000, -1), member('a', 10)]), ['a'])
  })
})
