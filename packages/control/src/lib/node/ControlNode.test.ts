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
import { NodeCluster, until } from '../testing/nodeCluster'
import type { ControlNode } from './ControlNode'

const voters = ['a', 'b', 'c']

let cluster = new NodeCluster([])

afterEach(async () => {
  await cluster.stopAll()
})

async function startVoters(names = voters): Promise<void> {
  cluster = new NodeCluster(names)
  for (const name of names) await cluster.start(name)
  await until(() => names.some((name) => cluster.node(name).isLeader()), 'one leads')
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
      assert.equal(node.counters().claim_commands, 1, 'they shared one command')
      const reply = await Effect.runPromise(node.read(0, 100))
      assert.equal(reply.settings?.preset, 'peak')
      assert.ok(verifyAudit(reply.audit, reply.settings).ok)
    })
  }

  it('stores the end of a claim once the quorum is back, for every later submission', async () => {
    await startVoters()
    const follower = await cluster.start('d')
    await claimAt(follower, keyClaim('k', 'job1'))
    cluster.setCutBothWays(['d'], voters, true)
    follower.endClaim(claimEnd('k', 'job1', 'answer'))
    await until(() => follower.settings()?.current === false, 'it is cut off')
    cluster.setCutBothWays(['d'], voters, false)
    let held: ClaimAnswer | undefined
    await until(() => follower.counters().ends_waiting === 0, 'the end is under way')
    while (held?.state !== ClaimState.ENDED) {
      held = await claimAt(cluster.node('b'), keyClaim('k', 'job2'))
    }
    assert.equal(held.verdict, ClaimVerdict.HELD)
    assert.equal(new TextDecoder().decode(held.answer), 'answer')
  })
})

describe('a claim without a quorum', () => {
  it('is truly not made when no leader was found', async () => {
    cluster = new NodeCluster(voters)
    const alone = await cluster.start('a')
    assert.equal(await claimAt(alone, keyClaim('k', 'job1')), undefined)
  })

  it('is unknown when the leader may have got it, and a release frees the key', async () => {
    await startVoters()
    const follower = await cluster.start('d')
    await until(() => follower.settings()?.current === true, 'the follower knows the leader')
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

describe('an instance that is cut off', () => {
  it('goes on with its last version, says so, and takes the newest when it is back', async () => {
    await startVoters()
    const follower = await cluster.start('d')
    await until(() => follower.settings()?.current === true, 'the follower is current')
    cluster.setCutBothWays(['d'], voters, true)
    await setPresetAt('b', 'peak', 1)
    await until(() => follower.settings()?.current === false, 'its lease has run out')
    assert.equal(follower.settings()?.settings.preset, 'ordinary')
    cluster.setCutBothWays(['d'], voters, false)
    await until(() => follower.settings()?.settings.preset === 'peak', 'it is back')
  })

  it('starts with the highest version of its zone', async () => {
    await startVoters()
    const peer = await cluster.start('d')
    await setPresetAt('a', 'peak', 1)
    await until(() => peer.settings()?.settings.version === 2, 'its peer has the new version')
    cluster.setCutBothWays(['d', 'e'], voters, true)
    const started = await cluster.start('e')
    started.notePeer('d', 2)
    await until(() => started.settings()?.settings.version === 2, 'it has the version of its peer')
    assert.equal(started.settings()?.current, false)
  })

  it('restarts with the version that was in force before, though no voter can be asked', async () => {
    await startVoters()
    await setPresetAt('a', 'peak', 1)
    await until(() => cluster.node('c').settings()?.settings.version === 2, 'all have it')
    await cluster.stop('c')
    cluster.setCutBothWays(['c'], ['a', 'b'], true)
    const restarted = await cluster.start('c')
    await until(() => restarted.settings() !== undefined, 'it has settings')
    assert.equal(restarted.settings()?.settings.version, 2)
    assert.equal(restarted.settings()?.current, false)
  })
})

describe('a start', () => {
  const options = { instance: 'a', clusterId: 'k1', voters }
  const refusals: Record<string, Partial<typeof options>> = {
    'of an instance that is no voter': { instance: 'z' },
    'with a voter named twice': { voters: ['a', 'a', 'b'] },
    'with an invalid cluster id': { clusterId: 'not valid' },
    'with an invalid voter': { voters: ['a', ''] },
  }
  for (const [what, wrong] of Object.entries(refusals)) {
    it(`of a new set ${what} is refused`, () => {
      const start = initVoters(new MemoryDisk(), { ...options, ...wrong })
      const err = Effect.runSync(Effect.flip(start))
      assert.equal(err.kind, ControlErrorKind.InvalidMembers)
    })
  }

  it('of a new set is refused on a folder that holds a voter', () => {
    const disk = new MemoryDisk()
    assert.equal(Effect.runSync(initVoters(disk, options)), 'a-k1')
    const err = Effect.runSync(Effect.flip(initVoters(disk, { ...options, clusterId: 'k2' })))
    assert.equal(err.kind, ControlErrorKind.AlreadyInitialized)
  })

  it('of a new set may be repeated when the disk failed in the middle', () => {
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

  it('does not make a new set by itself: an empty disk waits as a learner', async () => {
    cluster = new NodeCluster(['a'])
    const disk = new MemoryDisk()
    const node = await cluster.start('x', { disk })
    assert.ok(node.diskId()?.startsWith('x-'))
    assert.ok(cluster.lines.some((line) => line.includes('waits to be added')))
  })

  it('after many changes stores the settings once, not one by one', async () => {
    await startVoters(['a'])
    for (let version = 1; version <= 60; version++) await setPresetAt('a', 'peak', version)
    await cluster.stop('a')
    const disk = cluster.disks.get('a')
    const before = disk?.changes ?? 0
    const restarted = await cluster.start('a')
    await until(() => restarted.settings()?.current === true, 'it is current')
    const changes = (disk?.changes ?? 0) - before
    assert.ok(changes < 60, `${changes} changes of the disk`)
  })

  it('fails on a damaged disk with a clear message', async () => {
    await startVoters()
    await cluster.stop('a')
    cluster.disks.get('a')?.flip('control-snapshot', 30)
    await assert.rejects(cluster.start('a'), /control-snapshot.*checksum/)
    cluster.disks.get('b')?.fail({ operation: DiskOperation.Read })
    await cluster.stop('b')
  })
})
