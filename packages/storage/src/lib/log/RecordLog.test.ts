import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import { MemoryDisk } from '../disk/MemoryDisk'
import { StorageErrorKind } from '../errors/StorageError'
import { appendAll, errorOf, openLog, readLog, run, toRecords } from '../testing/storageFixture'
import { RecordLog } from './RecordLog'

describe('RecordLog', () => {
  it('keeps acknowledged records across truncation, compaction and a crash', async () => {
    const disk = new MemoryDisk()
    const log = await openLog(disk)
    for (let i = 0; i < 10; i++) await appendAll(log, [`a${i}`, `b${i}`])
    await run(log.truncateAfter(15))
    await run(log.dropFirst(5))
    await appendAll(log, ['x'])
    assert.equal(log.length, 11)
    disk.crash()
    const again = await openLog(disk)
    assert.equal(again.dropped, 5)
    assert.equal(again.records.map(String).join(), 'b2,a3,b3,a4,b4,a5,b5,a6,b6,a7,x')
  })

  it('writes waiting appends with one sync', async () => {
    const disk = new MemoryDisk({ syncDelayMs: 1 })
    const log = await openLog(disk)
    const before = disk.changes
    const appends = ['a', 'b', 'c', 'd', 'e'].map((text) => log.append(toRecords([text])))
    await run(Effect.all(appends, { concurrency: 'unbounded' }))
    // The first append is synced at once; the four that arrive during its sync share the next.
    assert.equal(disk.changes - before, 4)
    assert.deepEqual(await readLog(disk), ['a', 'b', 'c', 'd', 'e'])
  })

  it('keeps appends that were requested after a truncation', async () => {
    const disk = new MemoryDisk({ syncDelayMs: 1 })
    const log = await openLog(disk)
    const steps = [
      log.append(toRecords(['a'])),
      log.append(toRecords(['b'])),
      log.truncateAfter(0),
      log.append(toRecords(['c'])),
    ]
    await run(Effect.all(steps, { concurrency: 'unbounded' }))
    assert.deepEqual(await readLog(disk), ['c'])
  })

  it('separates several logs and unrelated files in one folder', async () => {
    const disk = new MemoryDisk()
    await run(disk.writeNew('log.note', Buffer.from('not ours')))
    const log = await openLog(disk)
    const other = await run(RecordLog.open(disk, 'log.audit'))
    await appendAll(log, ['a'])
    await appendAll(other, ['b'])
    assert.deepEqual(await readLog(disk), ['a'])
  })

  const misuses = [
    { call: 'keeps more than there is', ask: (log: RecordLog) => log.truncateAfter(3) },
    { call: 'keeps a negative count', ask: (log: RecordLog) => log.truncateAfter(-1) },
    { call: 'drops more than there is', ask: (log: RecordLog) => log.dropFirst(3) },
    { call: 'drops a fraction', ask: (log: RecordLog) => log.dropFirst(0.5) },
    {
      call: 'appends a record that is too long',
      ask: (log: RecordLog) => log.append([Buffer.alloc(16 * 1024 * 1024 + 1)]),
    },
  ]
  for (const { call, ask } of misuses) {
    it(`rejects a caller that ${call}, and stays usable`, async () => {
      const disk = new MemoryDisk()
      const log = await openLog(disk)
      await appendAll(log, ['a', 'b'])
      assert.equal((await errorOf(ask(log))).kind, StorageErrorKind.Misused)
      await appendAll(log, ['c'])
      assert.deepEqual(await readLog(disk), ['a', 'b', 'c'])
    })
  }

  it('stays stopped after a failure until it is reopened, with advice in the error', async () => {
    const disk = new MemoryDisk()
    const log = await openLog(disk)
    await appendAll(log, ['a', 'b'])
    disk.capacityBytes = 100
    const first = await errorOf(log.append([Buffer.alloc(100)]))
    assert.equal(first.kind, StorageErrorKind.DiskFull)
    assert.match(first.message, /Free space on the disk of the data folder, then restart\.$/)
    disk.capacityBytes = Infinity
    for (const call of [log.append(toRecords(['c'])), log.truncateAfter(1), log.dropFirst(1)]) {
      assert.equal((await errorOf(call)).kind, StorageErrorKind.Stopped)
    }
    const again = await openLog(disk)
    await appendAll(again, ['c'])
    assert.deepEqual(await readLog(disk), ['a', 'b', 'c'])
  })
})
