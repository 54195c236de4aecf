import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { NodeCluster, quickTiming, waitUntil } from '../testing/nodeCluster'
import type { CommittedState } from './ControlNodeOptions'

const voters = ['a', 'b', 'c']
let cluster = new NodeCluster([])
let commands = 0

afterEach(async () => {
  await cluster.stopAll()
})

async function startVoters(): Promise<void> {
  cluster = new NodeCluster(voters)
  for (const name of voters) await cluster.start(name)
  await waitUntil(() => voters.some((name) => cluster.node(name).isLeader()), 'a leader is elected')
}

function leader(): string {
  return voters.find((name) => cluster.node(name).isLeader()) ?? ''
}

async function put(instance: string, version: number, text: string): Promise<CommandResult> {
  const value = { version, document: new TextEncoder().encode(text), atMs: 1 }
  const commandId = `put${++commands}`
  const command = create(CommandSchema, { commandId, change: { case: 'putRouting', value } })
  const { result } = await Effect.runPromise(cluster.node(instance).propose(command))
  return result
}

async function read(instance: string): Promise<readonly [number, string] | undefined> {
  const state = await Effect.runPromise(cluster.node(instance).readRouting())
  return state && [state.version, new TextDecoder().decode(state.document)]
}

describe('the replicated routing', () => {
  it('has the highest version proposed; a lower or equal one is applied without effect', async () => {
    await startVoters()
    assert.equal(await put('a', 5, 'five'), CommandResult.APPLIED)
    assert.equal(await put('b', 3, 'three'), CommandResult.APPLIED)
    assert.equal(await put('c', 5, 'other five'), CommandResult.APPLIED)
    for (const name of voters) assert.deepEqual(await read(name), [5, 'five'])
  })

  it('is kept when all voters restart', async () => {
    await startVoters()
    await put('a', 5, 'five')
    await cluster.stopAll()
    for (const name of voters) await cluster.start(name)
    assert.deepEqual(await read('b'), [5, 'five'])
  })

  it('is reported to each new leader with the term', async () => {
    const reported: (readonly [number, number])[] = []
    cluster = new NodeCluster(voters)
    for (const name of voters) {
      await cluster.start(name, {
        ...quickTiming,
        onLeadership: (term: number | undefined, { routing }: CommittedState) => {
          if (term !== undefined) reported.push([term, routing?.version ?? 0])
        },
      })
    }
    await waitUntil(() => reported.length === 1, 'a leader is elected')
    await put('a', 5, 'five')
    const first = leader()
    cluster.node(first).transferLeadership()
    await waitUntil(() => reported.length === 2, 'another leader is elected')
    const [before, after] = reported
    assert.ok((after?.[0] ?? 0) > (before?.[0] ?? 0), 'the term increases')
    assert.equal(after?.[1], 5, 'the next leader has all committed entries')
  })

  it('cannot be read without a majority', async () => {
    await startVoters()
    await put('a', 5, 'five')
    for (const name of ['b', 'c']) await cluster.stop(name)
    assert.equal(await read('a'), undefined)
  })
})

describe('a leader that transfers its leadership', () => {
  it('is succeeded at once by a voter with all entries', async () => {
    await startVoters()
    const old = leader()
    const term = cluster.node(old).term()
    cluster.node(old).transferLeadership()
    await waitUntil(() => leader() !== '' && leader() !== old, 'another leader is elected')
    assert.equal(cluster.node(leader()).term(), term + 1, 'the first election succeeded')
  })

  it('reports when a majority last followed it, until it stops leading', async () => {
    await startVoters()
    const old = leader()
    await waitUntil(() => cluster.node(old).confirmedAt() > -Infinity, 'a majority has replied')
    const others = voters.filter((name) => name !== old)
    for (const name of others) assert.equal(cluster.node(name).confirmedAt(), -Infinity)
    for (const name of others) await cluster.stop(name)
    await waitUntil(() => cluster.node(old).confirmedAt() === -Infinity, 'it has stepped down')
  })
})
