import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isValidName } from '@cherryhitch/model'
import { deployments, placeEndpoints, placeInstances } from './Deployment'

/** Workers and instances per zone. */
const expected = {
  kitaura: { workers: [11, 11, 11], instances: [3, 2, 2] },
  sabarmati: { workers: [8, 8, 8, 8], instances: [2, 2, 2, 1] },
}

function countBy(items: readonly string[]): number[] {
  const counts = new Map<string, number>()
  for (const item of items) counts.set(item, (counts.get(item) ?? 0) + 1)
  return [...counts.values()]
}

describe('the deployments', () => {
  for (const deployment of Object.values(deployments)) {
    it(`${deployment.name}: spreads workers and instances over its zones`, () => {
      const endpoints = placeEndpoints(deployment)
      const instances = placeInstances(deployment)
      const { workers, instances: perZone } = expected[deployment.name]
      assert.deepEqual(countBy(endpoints.map(({ zone }) => zone)), workers)
      assert.deepEqual(countBy(instances.map(({ zone }) => zone)), perZone)
      const racks = countBy(endpoints.map(({ rack }) => rack))
      assert.ok(racks.every((count) => count <= deployment.workersPerRack))
    })

    it(`${deployment.name}: has names that are valid and unique`, () => {
      const names = [
        ...placeEndpoints(deployment).map(({ endpoint }) => endpoint),
        ...placeInstances(deployment).map(({ instance }) => instance),
      ]
      assert.ok(names.every(isValidName))
      assert.equal(new Set(names).size, names.length)
    })
  }
})
