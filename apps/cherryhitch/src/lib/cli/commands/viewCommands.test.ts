import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ExitCode } from '../ExitCode'
import { FakeInstance } from '../fixtures/FakeInstance'
import { runWith } from '../fixtures/runWith'

function service(name: string, ejectedEndpoints: number) {
  const load = { endpoints: 2, slots: 16, freeSlots: 5, queuedTasks: 3, waitMs: 1 }
  return { service: name, ...load, ejectedEndpoints }
}

function instance(name: string, alive: boolean, settingsVersion: number) {
  const heard = { heardMsAgo: 12, roundTripMs: 1.26, boot: 1 }
  const services = [service('tracing', 1)]
  return {
    instance: name,
    zone: 'z1',
    state: 'serving',
    alive,
    settingsVersion,
    services,
    ...heard,
  }
}

function endpoint(name: string, state: string, ejected: boolean) {
  const place = { service: 'tracing', zone: 'z1', rack: 'r1', address: '127.0.0.1:9', owner: 'a1' }
  return { endpoint: name, ...place, state, slots: 8, busySlots: 3, heardMsAgo: 40, ejected }
}

function job(jobId: string, state: string) {
  const rest = { outcome: 'unspecified', reason: 'unspecified', settingsVersion: 2 }
  return { jobId, state, tasks: 120, tasksEnded: 30, ...rest }
}

const cases = [
  {
    command: 'instances',
    path: '/v1/instances',
    rows: [instance('a1', true, 2), instance('a2', true, 1), instance('b1', false, 0)],
    says: [
      /^INSTANCE +ZONE +STATE +ALIVE +HEARD +RTT/,
      /^a1 .* yes .* 12 ms ago {2}1\.3 ms {2}2 {9}tracing 5\/16$/m,
      /3 instances, 2 alive, 6 tasks queued, 2 endpoints ejected, settings versions differ: 1, 2$/,
    ],
  },
  {
    command: 'endpoints',
    path: '/v1/endpoints',
    rows: [endpoint('w1', 'serving', true), endpoint('w2', 'leaving', false)],
    says: [
      /^w1 .* serving {2}3\/8 {3}40 ms ago {2}yes$/m,
      /2 endpoints, 6 of 16 slots busy, 1 leaving, 1 ejected; all owned by a1$/,
    ],
  },
  {
    command: 'jobs',
    path: '/v1/jobs',
    rows: [job('a1.x.1', 'running'), job('a1.x.2', 'failed')],
    says: [/^a1\.x\.1 {2}running {2}30\/120/m, /1 running, 1 ended$/],
  },
]

describe('what operators look at', () => {
  for (const { command, path, rows, says } of cases) {
    it(`"${command}" is a table with a summary, or JSON`, async (t) => {
      const fake = await FakeInstance.start(t, () => ({ status: 200, body: { [command]: rows } }))
      const table = await runWith([command, '--url', fake.url])
      assert.equal(table.exitCode, ExitCode.Ok, table.err)
      for (const pattern of says) assert.match(table.out, pattern)
      const json = await runWith([command, '--json', '--url', fake.url])
      assert.deepEqual(JSON.parse(json.out), rows)
      assert.deepEqual(
        fake.seen.map((req) => `${req.method} ${req.path}`),
        [`GET ${path}`, `GET ${path}`],
      )
    })

    it(`"${command}" says so when there are none`, async (t) => {
      const fake = await FakeInstance.start(t, () => ({ status: 200, body: { [command]: [] } }))
      const run = await runWith([command], { env: { CHERRYHITCH_OPERATORS_URL: fake.url } })
      assert.equal(run.exitCode, ExitCode.Ok)
      assert.match(run.out, /\n\n0 /)
    })
  }
})
