import assert from 'node:assert/strict'
import { once } from 'node:events'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HeartbeatBody } from '@cherryhitch/model'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { readJsonBody, writeReply } from '../http/serverReplies'
import { EndpointLedger } from '../ledger/EndpointLedger'
import { MessageKind, Waste } from '../ledger/messageCounts'
import { SeededRandom } from '../util/SeededRandom'
import { HeartbeatRoute } from './HeartbeatRoute'
import type { StandInEndpoint } from './StandInEndpoint'
import { startStandInEndpoint } from './StandInEndpoint'

const instances = ['i1', 'i2', 'i3']

describe('the way of a heartbeat', () => {
  const makeRoute = (): HeartbeatRoute =>
    new HeartbeatRoute({ instances, heartbeatMs: 1000 }, new SeededRandom(1))

  it('follows the owner and its interval', () => {
    const route = makeRoute()
    const first = route.next() ?? ''
    const direct = route.answered(first, { owner: 'o', ownerAddress: 'o', nextHeartbeatMs: 200 })
    assert.deepEqual([direct, route.next(), route.waitMs()], [false, 'o', 200])
  })

  it('tries every instance before it waits when none answers', () => {
    const route = makeRoute()
    route.answered('i1', { owner: 'o', ownerAddress: 'o', nextHeartbeatMs: 1000 })
    const tried: string[] = []
    while (route.waitMs() < 1000 || tried.length === 0) {
      const target = route.next() ?? ''
      tried.push(target)
      route.failed(target)
    }
    assert.equal(tried[0], 'o')
    assert.equal(new Set(tried).size, instances.length)
  })

  it('goes nowhere when it knows no instance', () => {
    const route = new HeartbeatRoute({ instances: [], heartbeatMs: 1 }, new SeededRandom(1))
    assert.equal(route.next(), undefined)
  })
})

interface FakeInstance {
  readonly address: string
  readonly beats: HeartbeatBody[]
  readonly server: http.Server
}

/** Answers heartbeats with an owner's address, its own unless told otherwise. */
async function startInstance(ownerAddress?: string): Promise<FakeInstance> {
  const beats: HeartbeatBody[] = []
  const server = http.createServer((req, res) => {
    readJsonBody(req, (body) => {
      beats.push(body as HeartbeatBody)
      const owner = ownerAddress ?? address
      const reply = { owner: 'i', ownerAddress: owner, nextHeartbeatMs: 60 }
      writeReply(res, { status: 200, body: reply })
    })
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return { address, beats, server }
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(2)
}

async function withHeartbeats(
  fakes: readonly FakeInstance[],
  known: readonly string[],
  test: (endpoint: StandInEndpoint, ledger: EndpointLedger) => Promise<void>,
): Promise<void> {
  const ledger = new EndpointLedger()
  const program: Effect.Effect<void, Error, Scope.Scope> = Effect.gen(function* () {
    const place = { endpoint: 'e1', service: 'trace', zone: 'z1', rack: 'r1' }
    const input = { ...place, ledger, instances: known, heartbeatMs: 60, heartbeatTimeoutMs: 500 }
    const endpoint = yield* startStandInEndpoint(input)
    yield* Effect.promise(() => test(endpoint, ledger))
  })
  await Effect.runPromise(Effect.scoped(program))
  for (const { server } of fakes) {
    server.closeAllConnections()
    server.close()
  }
}

function wastedHeartbeats(ledger: EndpointLedger, waste: Waste): number {
  const count = ledger.messages.find(({ kind }) => kind === MessageKind.Heartbeat)
  return count?.wastedBy[waste] ?? 0
}

describe('the heartbeats of a stand-in endpoint', () => {
  it('go to the owner that an instance names', async () => {
    const owner = await startInstance()
    const other = await startInstance(owner.address)
    await withHeartbeats([owner, other], [other.address], async (endpoint, ledger) => {
      await until(() => owner.beats.length >= 2)
      assert.equal(other.beats.length, 1)
      assert.equal(owner.beats[0]?.address, endpoint.address)
      assert.equal(wastedHeartbeats(ledger, Waste.NotOwner), 1)
    })
  })

  it('go to another instance when one does not answer', async () => {
    const dead = await startInstance()
    dead.server.close()
    const alive = await startInstance()
    await withHeartbeats([dead, alive], [dead.address, alive.address], async () => {
      await until(() => alive.beats.length >= 1)
    })
  })

  it('say at once that the endpoint is leaving', async () => {
    const owner = await startInstance()
    await withHeartbeats([owner], [owner.address], async (endpoint) => {
      await until(() => owner.beats.length >= 1)
      endpoint.leave()
      await until(() => owner.beats.at(-1)?.state === 'leaving')
    })
  })

  it('end when they are stopped', async () => {
    const owner = await startInstance()
    await withHeartbeats([owner], [owner.address], async (endpoint) => {
      await until(() => owner.beats.length >= 1)
      endpoint.stopHeartbeats()
      // One may be under way; none comes after it.
      await sleep(30)
      const count = owner.beats.length
      await sleep(150)
      assert.equal(owner.beats.length, count)
    })
  })
})
