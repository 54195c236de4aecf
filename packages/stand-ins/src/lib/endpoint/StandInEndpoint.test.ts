import assert from 'node:assert/strict'
import http from 'node:http'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { EndpointLedger, OveruseKind, RunEnd } from '../ledger/EndpointLedger'
import { MessageKind, Waste } from '../ledger/messageCounts'
import { requestJson } from '../http/requestJson'
import type { JsonResponse } from '../http/requestJson'
import type { StandInEndpoint } from './StandInEndpoint'
import { startStandInEndpoint } from './StandInEndpoint'
import type { StandInEndpointInput } from './StandInEndpointOptions'
import { FailEveryBehaviour, FailureSpeed } from './TaskBehaviour'

const LONG_MS = 5000

interface Fixture {
  readonly endpoint: StandInEndpoint
  readonly ledger: EndpointLedger
  send: (method: string, path: string, body?: unknown) => Promise<JsonResponse>
  put: (
    taskId: string,
    runMs?: number,
    leaseMs?: number,
    timeoutMs?: number,
  ) => Promise<JsonResponse>
}

function withEndpoint(
  input: Partial<StandInEndpointInput>,
  test: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const agent = new http.Agent({ keepAlive: true })
  const ledger = new EndpointLedger()
  const program: Effect.Effect<void, Error, Scope.Scope> = Effect.gen(function* () {
    const endpoint = yield* startStandInEndpoint({
      endpoint: 'e1',
      service: 'trace',
      zone: 'z1',
      rack: 'r1',
      boot: 7,
      ledger,
      ...input,
    })
    const { address } = endpoint
    const send = (method: string, path: string, body?: unknown, timeoutMs = LONG_MS) =>
      Effect.runPromise(requestJson({ method, address, path, body, timeoutMs, agent }))
    const put = (taskId: string, runMs = 0, leaseMs = LONG_MS, timeoutMs = LONG_MS) => {
      const payload = { runMs, token: `token-${taskId}` }
      const resources = { cores: 2, memoryMb: 60 }
      const body = { service: 'trace', payload, leaseMs, deadlineInMs: LONG_MS, resources }
      return send('PUT', `/v1/tasks/${taskId}`, body, timeoutMs)
    }
    yield* Effect.promise(() => test({ endpoint, ledger, send, put }))
  })
  return Effect.runPromise(Effect.scoped(program)).finally(() => {
    agent.destroy()
  })
}

async function started(ledger: EndpointLedger, count: number): Promise<void> {
  while (ledger.runs.length < count) await new Promise((resolve) => setTimeout(resolve, 2))
}

function ran(response: JsonResponse): unknown {
  return (response.body as { ran?: unknown }).ran
}

describe('a stand-in endpoint', () => {
  it('echoes the token of the payload', () =>
    withEndpoint({}, async ({ put, ledger }) => {
      const { status, body } = await put('a.1.1.0')
      assert.equal(status, 200)
      const output = { token: 'token-a.1.1.0', taskId: 'a.1.1.0', endpoint: 'e1' }
      assert.deepEqual((body as { output: unknown }).output, output)
      assert.equal(ledger.runs[0]?.end, RunEnd.Succeeded)
    }))

  interface Case {
    name: string
    input?: Partial<StandInEndpointInput>
    prepare: (fixture: Fixture) => Promise<unknown>
    status: number
    ran: string | undefined
    starts: number
  }
  const cases: Case[] = [
    {
      name: 'a repeated id joins the running task',
      prepare: async ({ put, ledger }) => {
        void put('t', 20)
        await started(ledger, 1)
      },
      status: 200,
      ran: undefined,
      starts: 1,
    },
    {
      name: 'a repeated id gets the kept answer of an ended task',
      prepare: ({ put }) => put('t'),
      status: 200,
      ran: undefined,
      starts: 1,
    },
    {
      name: 'an id whose answer is forgotten is unknown',
      input: { rememberedAnswers: 1 },
      prepare: async ({ put }) => {
        await put('t')
        await put('other')
      },
      status: 410,
      ran: 'unknown',
      starts: 1,
    },
    {
      name: 'a fenced id is refused as not run',
      prepare: ({ send }) => send('POST', '/v1/stops', { taskIds: ['t'] }),
      status: 409,
      ran: 'no',
      starts: 0,
    },
    {
      name: 'an id fenced by DELETE is refused as not run',
      prepare: ({ send }) => send('DELETE', '/v1/tasks/t'),
      status: 409,
      ran: 'no',
      starts: 0,
    },
    {
      name: 'full slots are refused as not run',
      input: { slots: 1 },
      prepare: async ({ put, ledger }) => {
        void put('other', 200).catch(() => undefined)
        await started(ledger, 1)
      },
      status: 429,
      ran: 'no',
      starts: 0,
    },
    {
      name: 'an endpoint that left refuses as not run',
      input: { leavingGraceMs: -1 },
      prepare: ({ endpoint }) => {
        endpoint.leave()
        return Promise.resolve()
      },
      status: 503,
      ran: 'no',
      starts: 0,
    },
    {
      name: 'a failing endpoint says that the task ran',
      input: { behaviour: new FailEveryBehaviour(FailureSpeed.Fast) },
      prepare: () => Promise.resolve(),
      status: 500,
      ran: 'yes',
      starts: 1,
    },
  ]
  for (const { name, input, prepare, status, ran: expectedRan, starts } of cases) {
    it(`answers PUT: ${name}`, () =>
      withEndpoint(input ?? {}, async (fixture) => {
        await prepare(fixture)
        const response = await fixture.put('t')
        assert.deepEqual([response.status, ran(response)], [status, expectedRan])
        assert.equal(fixture.ledger.trace('t').starts, starts)
      }))
  }

  const additions: [string, object, number, string | undefined][] = [
    ['a run meant for this process starts', { boot: 7 }, 200, undefined],
    ['a run meant for an earlier process is refused', { boot: 6 }, 409, 'no'],
    ['a run that only joins starts nothing', { join: true }, 409, 'no'],
  ]
  for (const [name, addition, status, expectedRan] of additions) {
    it(`answers PUT: ${name}`, () =>
      withEndpoint({}, async ({ send, ledger }) => {
        const body = { service: 'trace', payload: {}, leaseMs: LONG_MS, deadlineInMs: LONG_MS }
        const response = await send('PUT', '/v1/tasks/t', { ...body, ...addition })
        assert.deepEqual([response.status, ran(response)], [status, expectedRan])
        assert.equal(ledger.trace('t').starts, status === 200 ? 1 : 0)
      }))
  }

  it('fences what it was asked to join and does not know', () =>
    withEndpoint({}, async ({ put, send }) => {
      const body = { service: 'trace', payload: {}, leaseMs: LONG_MS, deadlineInMs: LONG_MS }
      await send('PUT', '/v1/tasks/t', { ...body, join: true })
      assert.equal((await put('t')).status, 409)
    }))

  it('stops a task whose lease runs out, and keeps one that is renewed', () =>
    withEndpoint({}, async ({ put, send, ledger }) => {
      const lost = put('lost', LONG_MS, 30)
      const kept = put('kept', 450, 400)
      await started(ledger, 2)
      const renewal = { leaseMs: LONG_MS, taskIds: ['kept', 'never'] }
      const renewed = await send('POST', '/v1/leases', renewal)
      assert.deepEqual(renewed.body, { running: ['kept'], boot: 7 })
      assert.equal((await lost).status, 500)
      assert.equal((await kept).status, 200)
      assert.equal(ledger.runs.find((run) => run.taskId === 'lost')?.end, RunEnd.LeaseRanOut)
    }))

  it('says of each id whether it stopped, had ended or was never seen', () =>
    withEndpoint({}, async ({ put, send, ledger }) => {
      await put('ended')
      const running = put('running', LONG_MS)
      await started(ledger, 2)
      const taskIds = ['running', 'ended', 'new', 'new']
      const { body } = await send('POST', '/v1/stops', { taskIds })
      const states = (body as { states: { state: string }[] }).states.map(({ state }) => state)
      assert.deepEqual(states, ['stopped', 'ended', 'never_seen', 'never_seen'])
      assert.equal((await running).status, 500)
    }))

  it('silences open connections but serves new ones', () =>
    withEndpoint({}, async ({ endpoint, put, ledger }) => {
      const unanswered = put('before', 10, LONG_MS, 200)
      await started(ledger, 1)
      endpoint.silence()
      assert.equal((await put('after')).status, 200)
      await assert.rejects(unanswered, /no answer/)
    }))

  it('answers nothing while it hangs, and works again after', () =>
    withEndpoint({}, async ({ endpoint, put }) => {
      endpoint.hang()
      await assert.rejects(put('during', 0, LONG_MS, 100), /no answer/)
      endpoint.recover()
      assert.equal((await put('after')).status, 200)
    }))

  const overuses: [OveruseKind, Partial<StandInEndpointInput>][] = [
    [OveruseKind.Connections, { connections: 1 }],
    [OveruseKind.Cores, { capacity: { cores: 3, memoryMb: 1000 } }],
    [OveruseKind.Memory, { capacity: { cores: 8, memoryMb: 100 } }],
    [OveruseKind.WorkAfterLeaving, { leavingGraceMs: -1 }],
  ]
  for (const [kind, input] of overuses) {
    it(`records ${kind}`, () =>
      withEndpoint(input, async ({ endpoint, put, ledger }) => {
        if (kind === OveruseKind.WorkAfterLeaving) endpoint.leave()
        await Promise.all([put('a', 50), put('b', 50)])
        const kinds = new Set(ledger.overuses.map((overuse) => overuse.kind))
        assert.deepEqual([...kinds], [kind])
      }))
  }

  it('counts messages that did no good', () =>
    withEndpoint({}, async ({ put, send, ledger }) => {
      await put('t')
      await put('t')
      await send('POST', '/v1/stops', { taskIds: ['t', 'new'] })
      await send('POST', '/v1/leases', { leaseMs: 1000, taskIds: ['t'] })
      await put('new')
      const wasted = ledger.messages.map(({ kind, messages, wastedBy }) => [
        kind,
        messages,
        wastedBy,
      ])
      assert.deepEqual(wasted, [
        [MessageKind.Run, 3, { [Waste.DuplicateRun]: 1, [Waste.RunAfterFence]: 1 }],
        [MessageKind.Stop, 1, { [Waste.StopWithoutTask]: 1 }],
        [MessageKind.Lease, 1, { [Waste.LeaseWithoutTask]: 1 }],
        [MessageKind.Heartbeat, 0, {}],
      ])
    }))

  it('breaks every connection when it is killed', () =>
    withEndpoint({}, async ({ endpoint, put, ledger }) => {
      const broken = put('t', LONG_MS)
      await started(ledger, 1)
      endpoint.kill()
      await assert.rejects(broken)
      assert.equal(ledger.runs[0]?.end, RunEnd.Killed)
    }))
})
