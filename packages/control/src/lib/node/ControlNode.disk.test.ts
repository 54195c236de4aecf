import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { CommandResult } from '@cherryhitch/protocol'
import { MemoryDisk } from '@cherryhitch/storage'
import type { StorageError } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { claimKeys, keyClaim } from '../testing/commands'
import { NodeCluster, waitUntil } from '../testing/nodeCluster'

const voters = ['a', 'b', 'c']

let cluster = new NodeCluster([])

afterEach(async () => {
  await cluster.stopAll()
})

async function awaitLeader(other?: string): Promise<string> {
  const leader = (): string | undefined =>
    voters.find((name) => name !== other && cluster.node(name).isLeader())
  await waitUntil(() => leader() !== undefined, 'a leader is elected')
  return leader() ?? ''
}

function diskOf(instance: string): MemoryDisk {
  const disk = cluster.disks.get(instance)
  if (disk === undefined) throw new Error(`${instance} has no disk`)
  return disk
}

async function startVoters(): Promise<void> {
  cluster = new NodeCluster(voters)
  for (const name of voters) await cluster.start(name)
  await awaitLeader()
}

/** Commits a claim of a key of its own, without the instance that was stopped. */
async function commit(key: string, stopped?: string): Promise<void> {
  const node = cluster.node(await awaitLeader(stopped))
  const command = claimKeys(`claim ${key}`, [keyClaim(key, `job ${key}`)])
  const answer = await Effect.runPromise(node.propose(command))
  assert.equal(answer.result, CommandResult.APPLIED, answer.detail)
}

function isDiskOpen(instance: string): boolean {
  return cluster.node(instance).counters().disk_open === 1
}

/** Fills the disk of an instance until the others have gone on without its voter. */
async function fillDisk(instance: string): Promise<void> {
  diskOf(instance).capacityBytes = 0
  const command = claimKeys(`fill ${instance}`, [keyClaim('k', 'job')])
  Effect.runFork(cluster.node(instance).propose(command))
  await waitUntil(() => !isDiskOpen(instance), 'the full disk is noticed')
  await awaitLeader(instance)
  diskOf(instance).capacityBytes = Infinity
}

describe('a disk that was full for some time', () => {
  // Each disk that was full cost its voter until a restart, so that the second one cost the majority.
  it('costs no voter for good, whichever disks are full in turn', async () => {
    await startVoters()
    for (const [turn, how] of ['leader', 'follower', 'leader', 'leader'].entries()) {
      const leader = await awaitLeader()
      const full = how === 'leader' ? leader : (voters.find((name) => name !== leader) ?? '')
      await fillDisk(full)
      await commit(`turn ${turn}`)
      await waitUntil(() => isDiskOpen(full), 'it is a voter again')
    }
    await commit('after')
  })
})

/** A disk that fails in a way that the program does not expect. */
class DefectiveDisk extends MemoryDisk {
  isDefective = false

  override append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return this.isDefective ? Effect.die(new Error('unexpected')) : super.append(name, bytes)
  }
}

describe('an unexpected error of a disk', () => {
  // It ended the fiber that writes, so that the voter waited for its write for good.
  it('costs the voter no longer than a failed write', async () => {
    cluster = new NodeCluster(['a'])
    const disk = new DefectiveDisk()
    const node = await cluster.start('a', { disk })
    await waitUntil(() => node.isLeader(), 'it leads')
    disk.isDefective = true
    Effect.runFork(node.propose(claimKeys('c', [keyClaim('k', 'job')])))
    await waitUntil(() => !isDiskOpen('a'), 'the failure is noticed')
    disk.isDefective = false
    await waitUntil(() => isDiskOpen('a') && node.isLeader(), 'it leads again')
  })
})

describe('a start while the disk is full', () => {
  // The start failed, so that the process ended again and again until the disk had room.
  it('runs without a voter until the disk has room', async () => {
    await startVoters()
    await commit('before')
    await cluster.stop('c')
    await commit('while it is stopped', 'c')
    diskOf('c').capacityBytes = 0
    const restarted = await cluster.start('c')
    await commit('while its disk is full', 'c')
    assert.equal(restarted.diskId(), undefined)
    assert.equal(restarted.counters().disk_open, 0)
    diskOf('c').capacityBytes = Infinity
    await waitUntil(() => restarted.diskId() === 'c-test', 'its voter is open')
    const stopped = await awaitLeader('c')
    await cluster.stop(stopped)
    await commit('with its vote', stopped)
  })

  it('of all voters at once lets the others lead, and keeps what was acknowledged', async () => {
    await startVoters()
    const full = await awaitLeader()
    diskOf(full).capacityBytes = 0
    await cluster.stopAll()
    for (const name of voters) await cluster.start(name)
    await commit('without it', full)
    diskOf(full).capacityBytes = Infinity
    await waitUntil(() => isDiskOpen(full), 'its voter is open')
    const reply = await Effect.runPromise(cluster.node(full).read(-1, 0))
    assert.equal(reply.ok, true)
  })

  it('of a first voter initializes it once the disk has room', async () => {
    cluster = new NodeCluster(['a'])
    const disk = new MemoryDisk({ capacityBytes: 0 })
    const node = await cluster.start('a', { disk })
    disk.capacityBytes = Infinity
    await waitUntil(() => node.isLeader(), 'it leads')
    assert.equal(node.diskId(), 'a-test')
  })
})
