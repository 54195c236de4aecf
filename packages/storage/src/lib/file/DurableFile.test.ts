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
/** Write, sync, rename, sync of the folder. */
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

  it('keeps the last content over a crash', async () => {
    for (let seed = 0; seed < SEEDS; seed++) {
      const { disk, file } = await diskWithOld(seed)
      await run(file.write(Buffer.from('new')))
      disk.crash()
      assert.equal(await readText(disk), 'new')
    }
  })

  for (let steps = 0; steps < STEPS; steps++) {
    it(`has the old or the new content after a crash behind step ${steps} of a write`, async () => {
      const found = new Set<string | undefined>()
      for (let seed = 0; seed < SEEDS; seed++) {
        const { disk, file } = await diskWithOld(seed)
        disk.haltAfter(steps)
        await errorOf(file.write(Buffer.from('new')))
        disk.crash()
        found.add(await readText(disk))
      }
      // Only a rename that took place can bring the new content in.
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
    it(`refuses all that follows a failed ${operation}; what a restart reads stays`, async () => {
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

  it('refuses a flipped or a missing byte at any place', async () => {
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
