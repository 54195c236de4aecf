import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { SettingsStateSchema } from '@cherryhitch/protocol'
import { DiskOperation, MemoryDisk } from '@cherryhitch/storage'
import { Effect, Exit, Scope } from 'effect'
import { waitUntil } from '../testing/nodeCluster'
import { startSettingsStore } from './startSettingsStore'
import type { SettingsStore } from './startSettingsStore'

let scope = Scope.makeUnsafe()
let inForce: number[] = []

beforeEach(() => {
  scope = Scope.makeUnsafe()
  inForce = []
})

afterEach(async () => {
  await Effect.runPromise(Scope.close(scope, Exit.void))
})

function open(disk: MemoryDisk): Promise<SettingsStore> {
  const started = startSettingsStore(
    disk,
    ({ version }) => inForce.push(version),
    () => undefined,
  )
  return Effect.runPromise(Effect.provideService(started, Scope.Scope, scope))
}

function save(store: SettingsStore, version: number): void {
  store.save(create(SettingsStateSchema, { version }))
}

/** The version that a process reads which starts now. */
async function readBack(disk: MemoryDisk): Promise<number | undefined> {
  return (await open(disk)).settings?.version
}

describe('the stored settings of an instance', () => {
  const failures: Record<string, (disk: MemoryDisk) => void> = {
    'its sync failed once': (disk) => {
      disk.fail({ operation: DiskOperation.Sync })
    },
    'the disk was full': (disk) => {
      disk.capacityBytes = 0
    },
  }
  for (const [what, fail] of Object.entries(failures)) {
    // One failed write ended all later ones, so a restart behind a cut went back to older settings.
    it(`are written later if ${what}, also without a newer version`, async () => {
      const disk = new MemoryDisk()
      const store = await open(disk)
      fail(disk)
      save(store, 1)
      await waitUntil(() => inForce.includes(1), 'version 1 is in force')
      assert.equal(await readBack(disk), undefined)
      disk.capacityBytes = Infinity
      await waitUntil(() => inForce.filter((version) => version === 1).length > 1, 'it is stored')
      disk.crash()
      assert.equal(await readBack(disk), 1)
    })
  }

  it('are those that were set last, if several came while the disk failed', async () => {
    const disk = new MemoryDisk()
    const store = await open(disk)
    disk.capacityBytes = 0
    for (const version of [1, 2, 3]) save(store, version)
    await waitUntil(() => inForce.includes(3), 'all are in force')
    disk.capacityBytes = Infinity
    await waitUntil(() => inForce.filter((version) => version === 3).length > 1, 'they are stored')
    disk.crash()
    assert.equal(await readBack(disk), 3)
  })

  it('are read later if the disk fails at the start, and not replaced by older ones', async () => {
    const disk = new MemoryDisk()
    save(await open(disk), 5)
    await waitUntil(() => inForce.includes(5), 'version 5 is stored')
    inForce = []
    disk.fail({ operation: DiskOperation.Read })
    const restarted = await open(disk)
    assert.equal(restarted.settings, undefined)
    save(restarted, 4)
    await waitUntil(() => inForce.includes(5), 'version 5 is read')
    assert.equal(await readBack(disk), 5)
  })
})
