import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MemoryDisk } from '../disk/MemoryDisk'
import { StorageErrorKind } from '../errors/StorageError'
import { LOG_NAME, appendAll, errorOf, openLog, readLog, run } from '../testing/storageFixture'
import { RecordLog } from './RecordLog'
import { encodeBatch, encodeSegment, encodeSegmentHeader } from './segmentFormat'
import { segmentName } from './segmentName'

const firstSegment = segmentName(LOG_NAME, 0)

/** The bytes of a segment with three appended batches. */
async function segmentBytes(): Promise<Buffer> {
  const disk = new MemoryDisk()
  const log = await run(RecordLog.open(disk, LOG_NAME))
  await appendAll(log, ['first'], ['second', 'third'], ['last'])
  return Buffer.from((await run(disk.read(firstSegment))) ?? [])
}

/** A disk with these files, all synced. */
async function diskWith(files: Readonly<Record<string, Uint8Array>>): Promise<MemoryDisk> {
  const disk = new MemoryDisk()
  for (const [name, bytes] of Object.entries(files)) {
    await run(disk.writeNew(name, bytes))
    await run(disk.sync(name))
  }
  await run(disk.syncFolder())
  return disk
}

const LAST_RECORD_BYTES = 20 + 'last'.length

describe('recovery of a log', () => {
  it('truncates a last record torn at any byte, and appends after it', async () => {
    const whole = await segmentBytes()
    for (let cut = 1; cut <= LAST_RECORD_BYTES; cut++) {
      const torn = whole.subarray(0, whole.length - cut)
      const zeros = Buffer.concat([torn, Buffer.alloc(cut)])
      for (const bytes of [torn, zeros]) {
        const disk = await diskWith({ [firstSegment]: bytes })
        const log = await openLog(disk)
        assert.equal(log.records.map(String).join(), 'first,second,third', `cut ${cut}`)
        await appendAll(log, ['next'])
        disk.crash()
        assert.deepEqual(await readLog(disk), ['first', 'second', 'third', 'next'])
      }
    }
  })

  it('rejects a corrupted byte anywhere before the last batch, with advice in the error', async () => {
    const whole = await segmentBytes()
    for (let at = 0; at < whole.length - LAST_RECORD_BYTES; at++) {
      const disk = await diskWith({ [firstSegment]: whole })
      disk.flip(firstSegment, at)
      const err = await errorOf(RecordLog.open(disk, LOG_NAME))
      assert.equal(err.kind, StorageErrorKind.Damaged, `byte ${at}`)
      assert.match(err.message, /add this instance again as a new voter/)
    }
  })

  it('rejects any corrupted byte once the log was reopened', async () => {
    const whole = await segmentBytes()
    for (let at = 0; at < whole.length; at++) {
      const disk = await diskWith({ [firstSegment]: whole })
      await openLog(disk)
      disk.flip(firstSegment, at)
      assert.equal((await errorOf(RecordLog.open(disk, LOG_NAME))).kind, StorageErrorKind.Damaged)
    }
  })

  it('treats a batch as torn even if its later records survived', async () => {
    const disk = new MemoryDisk()
    const log = await openLog(disk)
    await appendAll(log, ['kept'], ['lost', 'survived'])
    disk.flip(firstSegment, 32 + 24 + 5)
    assert.deepEqual(await readLog(disk), ['kept'])
  })

  const damages = [
    {
      what: 'a missing segment in the middle',
      files: { 0: encodeSegment(0, 0, [Buffer.from('a')]), 2: encodeSegment(2, 0, []) },
      kind: StorageErrorKind.Damaged,
      message: /records from number 1 on are missing/,
    },
    {
      what: 'a missing first segment',
      files: { 2: encodeSegment(2, 0, []) },
      kind: StorageErrorKind.Damaged,
      message: /records from number 0 on are missing/,
    },
    {
      what: 'a torn end of a segment that is not the last',
      files: {
        0: Buffer.concat([encodeSegment(0, 0, [Buffer.from('a')]), Buffer.alloc(3)]),
        1: encodeSegment(1, 0, []),
      },
      kind: StorageErrorKind.Damaged,
      message: /record 1 at byte 53 is damaged/,
    },
    {
      what: 'a record with another number than its place',
      files: {
        0: Buffer.concat([
          encodeSegmentHeader({ first: 0, floor: 0, syncedSize: 53 }),
          encodeBatch([Buffer.from('a')], 32, 5),
        ]),
      },
      kind: StorageErrorKind.Damaged,
      message: /record 0 at byte 32 is damaged/,
    },
    {
      what: 'an empty file',
      files: { 0: Buffer.alloc(0) },
      kind: StorageErrorKind.Damaged,
      message: /the header of the segment is damaged/,
    },
    {
      what: 'a segment of a newer format',
      files: { 0: encodeSegmentHeader({ first: 0, floor: 0, syncedSize: 32 }, 2) },
      kind: StorageErrorKind.TooNew,
      message: /Start the newer version of the program again/,
    },
  ]
  for (const { what, files, kind, message } of damages) {
    it(`refuses ${what}`, async () => {
      const named = Object.entries(files).map(([first, bytes]) => [
        segmentName(LOG_NAME, Number(first)),
        bytes,
      ])
      const disk = await diskWith(Object.fromEntries(named) as Record<string, Uint8Array>)
      const err = await errorOf(RecordLog.open(disk, LOG_NAME))
      assert.equal(err.kind, kind)
      assert.match(err.message, message)
    })
  }

  it('ignores segments below the floor and temporary files', async () => {
    const disk = await diskWith({
      [segmentName(LOG_NAME, 0)]: encodeSegment(0, 0, [Buffer.from('dropped')]),
      [segmentName(LOG_NAME, 3)]: encodeSegment(3, 3, [Buffer.from('kept')]),
      [`${segmentName(LOG_NAME, 4)}.tmp`]: Buffer.from('half'),
    })
    assert.deepEqual(await readLog(disk), ['kept'])
    assert.deepEqual(await run(disk.list()), [segmentName(LOG_NAME, 3)])
  })
})
