/** Guards what jobs beyond the share of their queue, and late ones, leave free for others. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { HealthState } from '@cherryhitch/policy'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { AvailableEndpoints } from './AvailableEndpoints'
import { freeCpuMillisOf } from './freeCpuMillisOf'
import { PriorityShares } from './QueueShares'
import type { QueueLoad } from './QueueUsage'

function fakeEndpoint(cpuMillis: number, isSynced = true): EndpointRecord {
  const capacity = { cpuMillis, memoryMb: 1_000, gpus: 0 }
  const notice = { capacity, labels: [] }
  const fake = { isSynced, notice, runs: new Map(), freeCapacity: () => capacity }
  return fake as unknown as EndpointRecord
}

function availableOf(...cpuMillis: readonly number[]): AvailableEndpoints {
  const available = new AvailableEndpoints()
  for (const free of cpuMillis) {
    available.set({ endpoint: fakeEndpoint(free), slowness: 1, health: HealthState.Healthy })
  }
  return available
}

describe('the free CPU of a service', () => {
  it('is that of its endpoints, whatever the waiting tasks need', () => {
    const available = availableOf(3_000, 500)
    const endpoint = fakeEndpoint(8_000)
    available.set({ endpoint, slowness: 1, health: HealthState.Probation })
    const expected = new Set([fakeEndpoint(2_000), fakeEndpoint(4_000, false)])
    assert.equal(freeCpuMillisOf({ available, expected }), 3_500 + 2_000)
  })
})

describe('shares of queues whose priorities are far apart', () => {
  it('are finite, and smaller for less urgent queues', () => {
    const load = { placedCpuMillis: 0, waitingCpuMillis: 50_000, meanCpuMillis: 50_000 }
    const queues = new Map<string, QueueLoad>()
    const priorities = [7, 5_000, 2 ** 32 - 1]
    for (const priority of priorities) queues.set(`r${priority}`, { ...load, priority })
    const { shares } = new PriorityShares().order({ ranked: [], queues, capacityCpuMillis: 10_000 })
    const own = priorities.map((priority) => shares.get(`r${priority}`)?.shareCpuMillis ?? 0)
    const [most = 0, middle = 0, least = 0] = own
    assert.ok(most < 10_000 && middle < most && least < middle && least > 0, own.join(' '))
  })
})
