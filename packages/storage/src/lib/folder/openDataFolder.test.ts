import assert from 'node:assert/strict'
import fs from 'node:fs/promises'
import os from 'node:os'
import path from 'node:path'
import { after, before, describe, it } from 'node:test'
import { Effect } from 'effect'
import { StorageErrorKind } from '../errors/StorageError'
import { errorOf, run } from '../testing/storageFixture'
import { openDataFolder } from './openDataFolder'
import { identify } from './processIdentity'

/** No process has a PID this high: the kernel's limit is 2^22. */
const DEAD_PID = 2 ** 22 + 1

const open = (folder: string) => Effect.scoped(Effect.asVoid(openDataFolder(folder)))

describe('openDataFolder', () => {
  let root = ''
  before(async () => {
    root = await fs.mkdtemp(path.join(os.tmpdir(), 'cherryhitch-folder-'))
  })
  after(() => fs.rm(root, { recursive: true, force: true }))

  it('creates the folder and its parents, and leaves at most one released lock', async () => {
    const folder = path.join(root, 'a', 'b')
    for (let opening = 1; opening <= 3; opening++) {
      await run(open(folder))
      assert.deepEqual(await fs.readdir(folder), [`lock.${opening}`])
    }
  })

  it('rejects a second opening, naming the holder and the remedy', async () => {
    const folder = path.join(root, 'held')
    const twice = Effect.andThen(openDataFolder(folder), Effect.asVoid(openDataFolder(folder)))
    const err = await errorOf(Effect.scoped(twice))
    assert.equal(err.kind, StorageErrorKind.Locked)
    assert.match(err.message, new RegExp(`in use by process ${process.pid}\\. Stop the other`))
    await run(open(folder))
  })

  const staleLocks = [
    { what: 'a dead process', change: { pid: DEAD_PID } },
    { what: 'an earlier process of the same number', change: { startedAt: '1' } },
    { what: 'a process from before the last start of the machine', change: { machineBoot: 'x' } },
  ]
  for (const { what, change } of staleLocks) {
    it(`takes over the lock of ${what}`, async () => {
      const folder = path.join(root, what.replaceAll(' ', '-'))
      await fs.mkdir(folder)
      const lock = { ...(await identify(process.pid)), ...change }
      await fs.writeFile(path.join(folder, 'lock.7'), JSON.stringify(lock))
      await run(open(folder))
      assert.deepEqual(await fs.readdir(folder), ['lock.8'])
    })
  }

  it('takes over an unreadable lock file', async () => {
    const folder = path.join(root, 'empty-lock')
    await fs.mkdir(folder)
    await fs.writeFile(path.join(folder, 'lock.7'), '')
    await run(open(folder))
  })

  it('lets at most one of many concurrent openings have the folder', async () => {
    const folder = path.join(root, 'race')
    await fs.mkdir(folder)
    const stale = { ...(await identify(process.pid)), pid: DEAD_PID }
    await fs.writeFile(path.join(folder, 'lock.7'), JSON.stringify(stale))
    let held = 0
    let most = 0
    let opened = 0
    const contend = Effect.scoped(
      Effect.gen(function* () {
        yield* openDataFolder(folder)
        opened++
        most = Math.max(most, ++held)
        yield* Effect.sleep(2)
        held--
      }),
    )
    const outcomes = Array.from({ length: 32 }, () => Effect.result(contend))
    await run(Effect.all(outcomes, { concurrency: 'unbounded' }))
    assert.ok(opened >= 1)
    assert.equal(most, 1)
  })

  it('reports an error when the path is a file', async () => {
    const file = path.join(root, 'file')
    await fs.writeFile(file, '')
    assert.equal((await errorOf(open(file))).kind, StorageErrorKind.WriteFailed)
  })
})
