import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { ClaimState, ClaimVerdict, CommandResult } from '@cherryhitch/protocol'
import type { ClaimAnswer, KeyClaim } from '@cherryhitch/protocol'
import { DiskOperation, MemoryDisk } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { ControlErrorKind } from '../errors/ControlError'
import { verifyAudit } from '../state/auditChain'
import { initVoters } from '../store/initVoters'
import { claimEnd, keyClaim, setPreset } from '../testing/commands'
import { NodeCluster, waitUntil } from '../testing/nodeCluster'
import type { ControlNode } from './ControlNode'

const voters = ['a', 'b', 'c']

let cluster = new NodeCluster([])

afterEach(async () => {
  await cluster.stopAll()
})

async function startVoters(names = voters): Promise<void> {
  cluster = new NodeCluster(names)
  for (const name of names) await cluster.start(name)
  await waitUntil(() => names.some((name) => cluster.node(name).isLeader()), 'a leader is elected')
}

async function setPresetAt(instance: string, preset: string, version: number): Promise<void> {
  const command = setPreset(`set ${version}`, preset, version)
  const answer = await Effect.runPromise(cluster.node(instance).propose(command))
  assert.equal(answer.result, CommandResult.APPLIED, answer.detail)
}

function claimAt(node: ControlNode, claim: KeyClaim): Promise<ClaimAnswer | undefined> {
  return Effect.runPromise(node.claim(claim))
}

describe('ControlNode', () => {
  for (const names of [['a'], voters]) {
    it(`commits a preset and claims with ${names.length} voter(s)`, async () => {
      await startVoters(names)
      const node = cluster.node('a')
      await setPresetAt('a', 'peak', 1)
      const claims = ['k1', 'k2', 'k1'].map((key, at) => node.claim(keyClaim(key, `job${at}`)))
      const answers = await Effect.runPromise(Effect.all(claims, { concurrency: 'unbounded' }))
      const { GRANTED, HELD } = ClaimVerdict
      assert.deepEqual(
        answers.map((claim) => claim?.verdict),
        [GRANTED, GRANTED, HELD],
      )
      assert.equal(node.counters().claim_commands, 1, 'the claims share one command')
      const reply = await Effect.runPromise(node.read(0, 100))
      assert.equal(reply.settings?.preset, 'peak')
      assert.ok(verifyAudit(reply.audit, reply.settings).ok)
    })
  }

  it('stores the end of a claim for later submissions once the quorum is back', async () => {
    await startVoters()
    const follower = await cluster.start('d')
    await claimAt(follower, keyClaim('k', 'job1'))
    cluster.setCutBothWays(['d'], voters, true)
    follower.endClaim(claimEnd('k', 'job1', 'answer'))
    await waitUntil(() => follower.settings()?.current === false, 'its lease has expired')
    cluster.setCutBothWays(['d'], voters, false)
    let held: ClaimAnswer | undefined
    await waitUntil(() => follower.counters().ends_waiting === 0, 'the end has been proposed')
    while (held?.state !== ClaimState.ENDED) {
      held = await claimAt(cluster.node('b'), keyClaim('k', 'job2'))
    }
    assert.equal(held.verdict, ClaimVerdict.HELD)
    assert.equal(new TextDecoder().decode(held.answer), 'answer')
  })
})

describe('a claim without a quorum', () => {
  it('is not made if no leader is found', async () => {
    cluster = new NodeCluster(voters)
    const alone = await cluster.start('a')
    assert.equal(await claimAt(alone, keyClaim('k', 'job1')), undefined)
  })

  it('is unknown if the leader may have received it, and a release frees the key', async () => {
    await startVoters()
    const follower = await cluster.start('d')
    await waitUntil(() => follower.settings()?.current === true, 'the follower knows the leader')
    cluster.setCut(voters, ['d'], true)
    const failed = await Effect.runPromise(Effect.flip(follower.claim(keyClaim('k', 'job1'))))
    assert.equal(failed.kind, ControlErrorKind.ClaimUnknown)
    const held = await claimAt(cluster.node('a'), keyClaim('k', 'job2'))
    assert.equal(held?.verdict, ClaimVerdict.HELD)
    cluster.setCut(voters, ['d'], false)
    follower.endClaim(claimEnd('k', 'job1'))
    let again: ClaimAnswer | undefined
    while (again?.verdict !== ClaimVerdict.GRANTED) {
      again = await claimAt(cluster.node('a'), keyClaim('k', 'job3'))
    }
    assert.equal(again.jobId, 'job3')
  })
})

describe('an instance that is partitioned', () => {
  it('keeps its version, marked as not current, and adopts the newest on reconnecting', async () => {
    await startVoters()
    const follower = await cluster.start('d')
    await waitUntil(() => follower.settings()?.current === true, 'the follower is current')
    cluster.setCutBothWays(['d'], voters, true)
    await setPresetAt('b', 'peak', 1)
    await waitUntil(() => follower.settings()?.current === false, 'its lease has expired')
    assert.equal(follower.settings()?.settings.preset, 'ordinary')
    cluster.setCutBothWays(['d'], voters, false)
    await waitUntil(() => follower.settings()?.settings.preset === 'peak', 'it has the new version')
  })

  it('starts with the highest version in its availability zone', async () => {
    await startVoters()
    const peer = await cluster.start('d')
    await setPresetAt('a', 'peak', 1)
    await waitUntil(() => peer.settings()?.settings.version === 2, 'its peer has the new version')
    cluster.setCutBothWays(['d', 'e'], voters, true)
    const started = await cluster.start('e')
    started.observePeer('d', 2)
    await waitUntil(() => started.settings()?.settings.version === 2, "it has its peer's version")
    assert.equal(started.settings()?.current, false)
  })

  it('restarts with the version that was in force before, without reaching another voter', async () => {
    await startVoters()
    await setPresetAt('a', 'peak', 1)
    await waitUntil(
      () => cluster.node('c').settings()?.settings.version === 2,
      'the voter has the new version',
    )
    await cluster.stop('c')
    cluster.setCutBothWays(['c'], ['a', 'b'], true)
    const restarted = await cluster.start('c')
    await waitUntil(() => restarted.settings() !== undefined, 'it has settings')
    assert.equal(restarted.settings()?.settings.version, 2)
    assert.equal(restarted.settings()?.current, false)
  })
})

describe('a start', () => {
  const options = { instance: 'a', clusterId: 'k1', voters }
  const refusals: Record<string, Partial<typeof options>> = {
    'on an instance that is not a voter': { instance: 'z' },
    'with a voter named twice': { voters: ['a', 'a', 'b'] },
    'with an invalid cluster id': { clusterId: 'not valid' },
    'with an invalid voter': { voters: ['a', ''] },
  }
  for (const [what, wrong] of Object.entries(refusals)) {
    it(`of a new voter set ${what} is refused`, () => {
      const start = initVoters(new MemoryDisk(), { ...options, ...wrong })
      const err = Effect.runSync(Effect.flip(start))
      assert.equal(err.kind, ControlErrorKind.InvalidMembers)
    })
  }

  it('of a new voter set is refused on a disk that already holds a voter', () => {
    const disk = new MemoryDisk()
    assert.equal(Effect.runSync(initVoters(disk, options)), 'a-k1')
    const err = Effect.runSync(Effect.flip(initVoters(disk, { ...options, clusterId: 'k2' })))
    assert.equal(err.kind, ControlErrorKind.AlreadyInitialized)
  })

  it('of a new voter set can be repeated after the disk failed during the first attempt', () => {
    for (let changes = 0; changes < 8; changes++) {
      const disk = new MemoryDisk({ seed: changes + 1 })
      disk.haltAfter(changes)
      Effect.runSyncExit(initVoters(disk, options))
      disk.crash()
      const again = Effect.runSyncExit(initVoters(disk, options))
      const err = again._tag === 'Success' ? undefined : String(again.cause)
      assert.ok(err === undefined || err.includes('belongs to disk a-k1 already'), err)
    }
  })

  it('creates no voter set on its own: an empty disk waits to be added as a learner', async () => {
    cluster = new NodeCluster(['a'])
    const disk = new MemoryDisk()
    const node = await cluster.start('x', { disk })
    assert.ok(node.diskId()?.startsWith('x-'))
    assert.ok(cluster.lines.some((line) => line.includes('waits to be added')))
  })

  it('after many changes stores only the newest settings', async () => {
    await startVoters(['a'])
    for (let version = 1; version <= 60; version++) await setPresetAt('a', 'peak', version)
    await cluster.stop('a')
    const disk = cluster.disks.get('a')
    const before = disk?.changes ?? 0
    const restarted = await cluster.start('a')
    await waitUntil(() => restarted.settings()?.current === true, 'its settings are current')
    const changes = (disk?.changes ?? 0) - before
    assert.ok(changes < 60, `${changes} changes on the disk`)
  })

  it('fails on a damaged disk, with an error that names the file', async () => {
    await startVoters()
    await cluster.stop('a')
    cluster.disks.get('a')?.flip('control-snapshot', 30)
    await assert.rejects(cluster.start('a'), /control-snapshot.*checksum/)
    cluster.disks.get('b')?.fail({ operation: DiskOperation.Read })
    await cluster.stop('b')
  })
})
