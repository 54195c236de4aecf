import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Effect, Result } from 'effect'
import { DiskOperation } from '../disk/Disk'
import { MemoryDisk } from '../disk/MemoryDisk'
import { StorageErrorKind } from '../errors/StorageError'
import { errorOf, run } from '../testing/storageFixture'
import { DurableFile } from './DurableFile'

const NAME = 'vote'
const SEEDS = 16
/** Disk operations of one write: write, sync, rename, folder sync. */
const STEPS = 4

async function readText(disk: MemoryDisk): Promise<string | undefined> {
  const content = await run(new DurableFile(disk, NAME).read())
  return content === undefined ? undefined : Buffer.from(content).toString()
}

async function diskWithOld(seed: number): Promise<{ disk: MemoryDisk; file: DurableFile }> {
  const disk = new MemoryDisk({ seed })
  const file = new DurableFile(disk, NAME)
  await run(file.write(Buffer.from('old')))
  return { disk, file }
}

describe('DurableFile', () => {
  it('has no content before the first write', async () => {
    assert.equal(await readText(new MemoryDisk()), undefined)
  })

  it('keeps the last content across a crash', async () => {
    for (let seed = 0; seed < SEEDS; seed++) {
      const { disk, file } = await diskWithOld(seed)
      await run(file.write(Buffer.from('new')))
      disk.crash()
      assert.equal(await readText(disk), 'new')
    }
  })

  for (let steps = 0; steps < STEPS; steps++) {
    it(`has the old or the new content after a crash following step ${steps} of a write`, async () => {
      const found = new Set<string | undefined>()
      for (let seed = 0; seed < SEEDS; seed++) {
        const { disk, file } = await diskWithOld(seed)
        disk.haltAfter(steps)
        await errorOf(file.write(Buffer.from('new')))
        disk.crash()
        found.add(await readText(disk))
      }
      // The new content can only appear once the rename was performed.
      const allowed = steps < 3 ? ['old'] : ['new', 'old']
      assert.deepEqual([...found].sort(), allowed)
    })
  }

  const operations = [
    DiskOperation.WriteNew,
    DiskOperation.Sync,
    DiskOperation.Rename,
    DiskOperation.SyncFolder,
  ]
  for (const operation of operations) {
    it(`rejects all operations after a failed ${operation}; what a restart reads is durable`, async () => {
      for (let seed = 0; seed < SEEDS; seed++) {
        const { disk, file } = await diskWithOld(seed)
        disk.fail({ operation })
        await errorOf(file.write(Buffer.from('new')))
        assert.equal((await errorOf(file.read())).kind, StorageErrorKind.Stopped)
        assert.equal((await errorOf(file.write(Buffer.from('x')))).kind, StorageErrorKind.Stopped)
        const found = await readText(disk)
        disk.crash()
        assert.equal(await readText(disk), found)
      }
    })
  }

  it('reports a full disk, and has the old content after a restart', async () => {
    const { disk, file } = await diskWithOld(1)
    disk.capacityBytes = 30
    assert.equal((await errorOf(file.write(Buffer.from('new')))).kind, StorageErrorKind.DiskFull)
    assert.equal(await readText(disk), 'old')
  })

  it('rejects a corrupted or missing byte at any offset', async () => {
    const { disk } = await diskWithOld(1)
    const whole = (await run(disk.read(NAME))) ?? new Uint8Array()
    for (let at = 0; at < whole.length; at++) {
      const flipped = new MemoryDisk()
      await run(flipped.writeNew(NAME, whole))
      flipped.flip(NAME, at)
      const shortened = new MemoryDisk()
      await run(shortened.writeNew(NAME, whole.subarray(0, at)))
      for (const broken of [flipped, shortened]) {
        const outcome = await Effect.runPromise(Effect.result(new DurableFile(broken, NAME).read()))
        assert.ok(Result.isFailure(outcome) && outcome.failure.kind === StorageErrorKind.Damaged)
      }
    }
  })
})
