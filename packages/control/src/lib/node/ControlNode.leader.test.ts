import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { Effect } from 'effect'
import { NodeCluster, quickTiming, waitUntil } from '../testing/nodeCluster'

const voters = ['a', 'b', 'c']
/** So long that a read that has to wait for an attempt to fail does not finish. */
const clientTiming = { ...quickTiming.clientTiming, attemptMs: 60_000, proposalTimeoutMs: 60_000 }

let cluster = new NodeCluster([])

afterEach(async () => {
  await cluster.stopAll()
})

function leaderBut(other: string): string | undefined {
  return voters.find((name) => name !== other && cluster.node(name).isLeader())
}

async function readAt(name: string): Promise<boolean> {
  let isAnswered = false
  Effect.runFork(
    Effect.map(cluster.node(name).readRouting(), (routing) => {
      isAnswered = routing !== undefined
    }),
  )
  await waitUntil(() => isAnswered, `${name} has answered a read`)
  return isAnswered
}

describe('a read at an instance whose voter follows a leader', () => {
  it('does not wait for seeds that are gone', async () => {
    cluster = new NodeCluster(voters, { ...quickTiming, clientTiming })
    for (const name of voters) await cluster.start(name)
    await cluster.stopAll()
    for (const name of voters) await cluster.start(name, { voters: ['x', 'y', 'z'] })
    for (const name of voters) assert.ok(await readAt(name), name)
  })

  it('does not wait for a leader that was lost', async () => {
    cluster = new NodeCluster(voters, { ...quickTiming, clientTiming })
    for (const name of voters) await cluster.start(name)
    await waitUntil(() => leaderBut('') !== undefined, 'a leader is elected')
    const lost = leaderBut('') ?? ''
    const others = voters.filter((name) => name !== lost)
    for (const name of voters) await readAt(name)
    cluster.setCutBothWays([lost], others, true)
    const reads = others.map((name) => readAt(name))
    assert.deepEqual(await Promise.all(reads), [true, true])
  })
})
