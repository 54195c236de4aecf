import assert from 'node:assert/strict'
import { it } from 'node:test'
import { Effect } from 'effect'
import { MemoryDisk, RecordLog } from '../../index'

it('keeps what it acknowledged over truncation, compaction and a crash', async () => {
  const disk = new MemoryDisk()
  const p = (s: string) => Buffer.from(s)
  const log = await Effect.runPromise(RecordLog.open(disk, 'log', { segmentBytes: 60 }))
  for (let i = 0; i < 10; i++) await Effect.runPromise(log.append([p(`a${i}`), p(`b${i}`)]))
  await Effect.runPromise(log.truncateAfter(15))
  await Effect.runPromise(log.dropFirst(5))
  await Effect.runPromise(log.append([p('x')]))
  disk.crash()
  const again = await Effect.runPromise(RecordLog.open(disk, 'log', { segmentBytes: 60 }))
  assert.equal(again.records.map(String).join(), 'b2,a3,b3,a4,b4,a5,b5,a6,b6,a7,x')
})
