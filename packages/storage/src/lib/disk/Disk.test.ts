import assert from 'node:assert/strict'
import fs from 'node:fs/promises'
import os from 'node:os'
import path from 'node:path'
import { after, describe, it } from 'node:test'
import { StorageErrorKind } from '../errors/StorageError'
import { appendAll, errorOf, openLog, readLog, run } from '../testing/storageFixture'
import type { Disk } from './Disk'
import { MemoryDisk } from './MemoryDisk'
import { RealDisk } from './RealDisk'
import { SlowDisk } from './SlowDisk'

const folders: string[] = []

async function makeRealDisk(): Promise<Disk> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'cherryhitch-disk-'))
  folders.push(folder)
  return new RealDisk(folder)
}

const disks: { name: string; make: () => Promise<Disk> }[] = [
  { name: 'MemoryDisk', make: () => Promise.resolve(new MemoryDisk()) },
  { name: 'RealDisk', make: makeRealDisk },
  { name: 'SlowDisk', make: async () => new SlowDisk(await makeRealDisk(), 1) },
]

async function textOf(disk: Disk, name: string): Promise<string | undefined> {
  const bytes = await run(disk.read(name))
  return bytes === undefined ? undefined : Buffer.from(bytes).toString()
}

for (const { name, make } of disks) {
  describe(name, () => {
    after(async () => {
      for (const folder of folders) await fs.rm(folder, { recursive: true, force: true })
    })

    it('writes, appends, syncs and reads', async () => {
      const disk = await make()
      await run(disk.writeNew('a', Buffer.from('one')))
      await run(disk.append('a', Buffer.from(' two')))
      await run(disk.sync('a'))
      await run(disk.syncFolder())
      assert.equal(await textOf(disk, 'a'), 'one two')
    })

    it('renames a file over another one, and appends to it', async () => {
      const disk = await make()
      await run(disk.writeNew('a', Buffer.from('old')))
      await run(disk.append('a', Buffer.from('er')))
      await run(disk.writeNew('b', Buffer.from('new')))
      await run(disk.rename('b', 'a'))
      await run(disk.append('a', Buffer.from('er')))
      assert.equal(await textOf(disk, 'a'), 'newer')
      assert.deepEqual(await run(disk.list()), ['a'])
    })

    it('replaces an existing file when it is written as new', async () => {
      const disk = await make()
      await run(disk.writeNew('a', Buffer.from('a long one')))
      await run(disk.writeNew('a', Buffer.from('short')))
      assert.equal(await textOf(disk, 'a'), 'short')
    })

    it('treats the removal of a missing file as done', async () => {
      const disk = await make()
      await run(disk.remove('a'))
      assert.equal(await textOf(disk, 'a'), undefined)
    })

    it('rejects attempts to append to, sync or rename a missing file', async () => {
      const disk = await make()
      assert.equal(
        (await errorOf(disk.append('a', Buffer.from('x')))).kind,
        StorageErrorKind.WriteFailed,
      )
      await errorOf(disk.sync('a'))
      await errorOf(disk.rename('a', 'b'))
      assert.deepEqual(await run(disk.list()), [])
    })

    it('stores a log that can be reopened', async () => {
      const disk = await make()
      const log = await openLog(disk)
      await appendAll(log, ['a', 'b'], ['c', 'd'], ['e', 'f'], ['g'])
      await run(log.truncateAfter(5))
      await run(log.dropFirst(3))
      await appendAll(log, ['h'])
      assert.deepEqual(await readLog(disk), ['d', 'e', 'h'])
    })
  })
}
