import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { PartLog } from '@cherryhitch/telemetry'
import { LeaderSearchLog } from './LeaderSearchLog'

const nothing = {
  leader: '',
  isReadConfirmed: false,
  hosts: ['a', 'b'],
  answered: [],
  connected: [],
}
const found = { ...nothing, leader: 'a', answered: ['a'], connected: ['a'] }

describe('the log of the search for a leader', () => {
  it('tells what was found while there is no leader, and when the first read was confirmed', () => {
    const lines: string[] = []
    const write = (message: string, fields: unknown): void => {
      lines.push(`${message} ${JSON.stringify(fields)}`)
    }
    const search = new LeaderSearchLog({ info: write, warn: write } as unknown as PartLog, 100)
    search.record(200, nothing)
    search.record(2_150, nothing)
    search.record(2_200, found)
    search.record(2_300, { ...found, isReadConfirmed: true })
    search.record(9_000, { ...found, isReadConfirmed: true })
    assert.match(lines[0] ?? '', /no leader is known.*"waitedMs":2050.*"hosts":\["a","b"\]/)
    assert.match(lines[1] ?? '', /first leader found.*"afterMs":2100/)
    assert.match(lines[2] ?? '', /first read confirmed.*"afterMs":2200/)
    assert.equal(lines.length, 3)
    assert.deepEqual(search.counters(), { startToLeaderMs: 2_100, startToReadMs: 2_200 })
  })
})
