import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { ClaimVerdict, CommandResult } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { verifyAudit } from '../state/auditChain'
import { keyClaim, setPreset } from '../testing/commands'
import { NodeCluster, until } from '../testing/nodeCluster'

let cluster = new NodeCluster([])

afterEach(async () => {
  await cluster.stopAll()
})

async function startVoters(...voters: string[]): Promise<void> {
  cluster = new NodeCluster(voters)
  for (const voter of voters) await cluster.start(voter)
  await until(() => voters.some((voter) => cluster.node(voter).isLeader()), 'one leads')
}

describe('ControlNode', () => {
  for (const voters of [['a'], ['a', 'b', 'c']]) {
    it(`commits a preset and claims with ${voters.length} voter(s)`, async () => {
      await startVoters(...voters)
      const node = cluster.node('a')
      const answer = await Effect.runPromise(node.propose(setPreset('c1', 'peak', 1)))
      assert.equal(answer.result, CommandResult.APPLIED)
      const claims = ['k1', 'k2', 'k1'].map((key, at) => node.claim(keyClaim(key, `job${at}`)))
      const answers = await Effect.runPromise(Effect.all(claims, { concurrency: 'unbounded' }))
      const { GRANTED, HELD } = ClaimVerdict
      assert.deepEqual(
        answers.map((claim) => claim?.verdict),
        [GRANTED, GRANTED, HELD],
      )
      const reply = await Effect.runPromise(node.read(0, 100))
      assert.equal(reply.settings?.preset, 'peak')
      assert.ok(verifyAudit(reply.audit, reply.settings).ok)
    })
  }

  it('tells an instance without a disk, and one that was cut off when it is back', async () => {
    await startVoters('a', 'b', 'c')
    const follower = await cluster.start('d')
    await until(() => follower.settings()?.current === true, 'the follower is current')
    cluster.setCut('d', true)
    const answer = await Effect.runPromise(cluster.node('b').propose(setPreset('c1', 'peak', 1)))
    assert.equal(answer.result, CommandResult.APPLIED)
    await until(() => follower.settings()?.current === false, 'its lease has run out')
    assert.equal(follower.settings()?.settings.preset, 'ordinary')
    cluster.setCut('d', false)
    await until(() => follower.settings()?.settings.preset === 'peak', 'it is back')
  })
})
