import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import type { RoutingState } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { NodeCluster, quickTiming, until } from '../testing/nodeCluster'

const voters = ['a', 'b', 'c']
let cluster = new NodeCluster([])
let commands = 0

afterEach(async () => {
  await cluster.stopAll()
})

async function startVoters(): Promise<void> {
  cluster = new NodeCluster(voters)
  for (const name of voters) await cluster.start(name)
  await until(() => voters.some((name) => cluster.node(name).isLeader()), 'one leads')
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

describe('the routing in the log', () => {
  it('is the one of the highest version; a lower or equal one is taken and changes nothing', async () => {
    await startVoters()
    assert.equal(await put('a', 5, 'five'), CommandResult.APPLIED)
    assert.equal(await put('b', 3, 'three'), CommandResult.APPLIED)
    assert.equal(await put('c', 5, 'other five'), CommandResult.APPLIED)
    for (const name of voters) assert.deepEqual(await read(name), [5, 'five'])
  })

  it('is still there after all voters were restarted', async () => {
    await startVoters()
    await put('a', 5, 'five')
    await cluster.stopAll()
    for (const name of voters) await cluster.start(name)
    assert.deepEqual(await read('b'), [5, 'five'])
  })

  it('is told to whoever leads, together with the term', async () => {
    const told: (readonly [number, number])[] = []
    cluster = new NodeCluster(voters)
    for (const name of voters) {
      await cluster.start(name, {
        ...quickTiming,
        onLeadership: (term: number | undefined, routing: RoutingState | undefined) => {
          if (term !== undefined) told.push([term, routing?.version ?? 0])
        },
      })
    }
    await until(() => told.length === 1, 'one leads')
    await put('a', 5, 'five')
    const first = leader()
    cluster.node(first).handOver()
    await until(() => told.length === 2, 'another leads')
    const [before, after] = told
    assert.ok((after?.[0] ?? 0) > (before?.[0] ?? 0), 'the term rises')
    assert.equal(after?.[1], 5, 'the next leader has everything that was committed')
  })

  it('is not read without a majority', async () => {
    await startVoters()
    await put('a', 5, 'five')
    for (const name of ['b', 'c']) await cluster.stop(name)
    assert.equal(await read('a'), undefined)
  })
})

describe('a leader that hands over', () => {
  it('is followed at once by a voter that has everything', async () => {
    await startVoters()
    const old = leader()
    const term = cluster.node(old).term()
    cluster.node(old).handOver()
    await until(() => leader() !== '' && leader() !== old, 'another leads')
    assert.equal(cluster.node(leader()).term(), term + 1, 'the first election succeeded')
  })

  it('knows when a majority last followed it, and nothing of that once it does not lead', async () => {
    await startVoters()
    const old = leader()
    await until(() => cluster.node(old).confirmedAt() > -Infinity, 'a majority has answered')
    const others = voters.filter((name) => name !== old)
    for (const name of others) assert.equal(cluster.node(name).confirmedAt(), -Infinity)
    for (const name of others) await cluster.stop(name)
    await until(() => cluster.node(old).confirmedAt() === -Infinity, 'it has stepped down')
  })
})
