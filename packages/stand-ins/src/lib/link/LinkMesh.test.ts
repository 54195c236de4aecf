import assert from 'node:assert/strict'
import http from 'node:http'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { startStandInEndpoint } from '../endpoint/StandInEndpoint'
import { requestJson } from '../http/requestJson'
import { EndpointLedger } from '../ledger/EndpointLedger'
import { PartitionKind, startLinkMesh } from './LinkMesh'
import type { LinkMesh, MeshTarget } from './LinkMesh'

const zones = ['z1', 'z2', 'z3']

interface Fixture {
  readonly mesh: LinkMesh
  /** Tells which of the other zones a zone reaches. */
  readonly reached: (from: string) => Promise<string[]>
}

function withMesh(test: (fixture: Fixture) => Promise<void>): Promise<void> {
  const program: Effect.Effect<void, Error, Scope.Scope> = Effect.gen(function* () {
    const targets: MeshTarget[] = []
    for (const zone of zones) {
      const place = { endpoint: zone, service: 'trace', zone, rack: 'r1' }
      const { address } = yield* startStandInEndpoint({ ...place, ledger: new EndpointLedger() })
      targets.push({ name: zone, zone, address })
    }
    const mesh = yield* startLinkMesh({ sources: targets, targets, zoneDelayMs: 1 })
    const reaches = async (from: string, address: string): Promise<boolean> => {
      const agent = new http.Agent({ keepAlive: false })
      const request = { method: 'GET', path: '/v1/health', address: mesh.via(from)(address) }
      const answer = requestJson({ ...request, agent, timeoutMs: 1000 })
      return Effect.runPromise(
        Effect.match(answer, { onSuccess: () => true, onFailure: () => false }),
      )
    }
    const reached = async (from: string): Promise<string[]> => {
      const others = targets.filter(({ name }) => name !== from)
      const found = await Promise.all(others.map(({ address }) => reaches(from, address)))
      return others.filter((_, index) => found[index]).map(({ name }) => name)
    }
    yield* Effect.promise(() => test({ mesh, reached }))
  })
  return Effect.runPromise(Effect.scoped(program))
}

describe('a mesh of links', () => {
  for (const kind of Object.values(PartitionKind)) {
    it(`parts one zone from the others (${kind}) and heals`, () =>
      withMesh(async ({ mesh, reached }) => {
        assert.deepEqual(await reached('z1'), ['z2', 'z3'])
        mesh.partition(({ zone }) => zone === 'z3', kind)
        const during = await Promise.all(zones.map(reached))
        assert.deepEqual(during, [['z2'], ['z1'], []])
        await Effect.runPromise(mesh.heal())
        assert.deepEqual(await reached('z3'), ['z1', 'z2'])
      }))
  }
})
