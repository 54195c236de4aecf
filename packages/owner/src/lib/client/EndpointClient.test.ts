import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { RunResultKind, StopState } from '../endpointResults'
import { EndpointServer, makeRun } from '../fixtures/EndpointServer'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerEvent } from '../OwnerEvent'
import { OwnerEventKind } from '../OwnerEvent'
import { EndpointClient } from './EndpointClient'

type EventOf<K extends OwnerEventKind> = Extract<OwnerEvent, { kind: K }>

/** Collects the client's events and returns those of each kind in order of arrival. */
class Mailbox {
  readonly events: OwnerEvent[] = []
  private wake: () => void = () => undefined

  readonly emit = (event: OwnerEvent): void => {
    this.events.push(event)
    this.wake()
  }

  async next<K extends OwnerEventKind>(kind: K): Promise<EventOf<K>> {
    for (;;) {
      const position = this.events.findIndex((event) => event.kind === kind)
      const [event] = position < 0 ? [] : this.events.splice(position, 1)
      if (event !== undefined) return event as EventOf<K>
      await new Promise<void>((resolve) => (this.wake = resolve))
    }
  }
}

let server: EndpointServer
let client: EndpointClient
let mailbox: Mailbox

beforeEach(async () => {
  server = new EndpointServer()
  await server.listen()
  mailbox = new Mailbox()
  client = new EndpointClient(mailbox.emit, { controlTimeoutMs: 150, maxOutputBytes: 1000 })
})

afterEach(async () => {
  client.close()
  await server.close()
})

function answerWith(status: number, body: unknown): void {
  server.handler = (_req, _body, res) => {
    res.statusCode = status
    res.end(typeof body === 'string' ? body : JSON.stringify(body))
  }
}

function renew(taskIds: readonly string[]): void {
  const kind = OwnerActionKind.RenewLeases
  client.perform({ kind, endpoint: 'e1', address: server.address, taskIds, leaseMs: 3000 })
}

describe('a run request', () => {
  it('carries the task, and names the addressed boot when it joins', async () => {
    const seen: unknown[] = []
    server.handler = (req, body, res) => {
      seen.push(req.method, req.url, JSON.parse(body))
      res.end(JSON.stringify({ output: { found: true }, runMs: 12 }))
    }
    client.perform(makeRun(server.address, { join: true }))
    const { result, run } = await mailbox.next(OwnerEventKind.RunEnded)
    assert.deepEqual(
      [result.kind, result.output, result.runMs, run],
      [RunResultKind.Succeeded, '{"found":true}', 12, 1],
    )
    assert.deepEqual(seen.slice(0, 2), ['PUT', '/v1/tasks/c1.1.1.0'])
    const body = seen[2] as Record<string, unknown>
    assert.deepEqual([body.payload, body.join, body.boot], [{ person: 7 }, true, 3])
  })

  const { Succeeded, Failed, NotRun, Unknown, Lost } = RunResultKind
  const answers: [string, number, unknown, RunResultKind][] = [
    ['an answer', 200, { output: null, runMs: 1 }, Succeeded],
    ['a failure of the task', 500, { ran: 'yes', detail: 'no such person' }, Failed],
    ['a bare 500', 500, 'oops', Failed],
    ['a full endpoint', 429, { ran: 'no' }, NotRun],
    ['a bare 429', 429, '', NotRun],
    ['a fenced id', 409, { ran: 'no' }, NotRun],
    ['a refusal on shutdown', 503, { ran: 'no' }, NotRun],
    ['a 503 of an intermediary', 503, '<html>', Unknown],
    ['a bare 409', 409, '', Unknown],
    ['a forgotten answer', 410, { ran: 'unknown' }, Unknown],
    ['invalid JSON', 200, '{"output":', Failed],
    ['an answer without output', 200, { runMs: 1 }, Failed],
    ['an answer that is too long', 200, { output: 'x'.repeat(2000) }, Failed],
    ['the answer of another task', 200, { output: 1, taskId: 'c1.1.1.9' }, Lost],
  ]
  for (const [name, status, body, kind] of answers) {
    it(`ends as ${kind} with ${name}`, async () => {
      answerWith(status, body)
      client.perform(makeRun(server.address))
      const { result } = await mailbox.next(OwnerEventKind.RunEnded)
      assert.equal(result.kind, kind)
      assert.equal(client.counters.foreignAnswers, kind === Lost ? 1 : 0)
    })
  }

  it('carries the token for endpoints that require authentication', async () => {
    const seen: unknown[] = []
    server.handler = (req, _body, res) => {
      seen.push(req.headers.authorization)
      res.end('{"output":1,"runMs":1,"running":[]}')
    }
    const guarded = new EndpointClient(mailbox.emit, { token: 'secret' })
    guarded.perform(makeRun(server.address))
    await mailbox.next(OwnerEventKind.RunEnded)
    guarded.perform({ kind: OwnerActionKind.Probe, endpoint: 'e1', address: server.address })
    await mailbox.next(OwnerEventKind.ProbeEnded)
    guarded.close()
    assert.deepEqual(seen, ['Bearer secret', 'Bearer secret'])
  })

  it('whose connection was refused was not run', async () => {
    const { address } = server
    await server.close()
    client.perform(makeRun(address))
    const { result } = await mailbox.next(OwnerEventKind.RunEnded)
    assert.deepEqual([result.kind, result.answered], [NotRun, false])
    await server.listen()
  })

  it('that was reset after it was sent is lost', async () => {
    server.handler = (req) => req.socket.destroy()
    client.perform(makeRun(server.address))
    assert.equal((await mailbox.next(OwnerEventKind.RunEnded)).result.kind, Lost)
  })

  it('on a reused connection that is reset is lost, as it may have arrived', async () => {
    client.perform(makeRun(server.address))
    await mailbox.next(OwnerEventKind.RunEnded)
    server.handler = (req) => req.socket.destroy()
    client.perform(makeRun(server.address, { run: 2 }))
    assert.equal((await mailbox.next(OwnerEventKind.RunEnded)).result.kind, Lost)
    assert.equal(server.connections, 1)
  })

  it('whose answer is truncated is lost', async () => {
    server.handler = (req, _body, res) => {
      res.write('{"output":')
      setImmediate(() => req.socket.destroy())
    }
    client.perform(makeRun(server.address))
    assert.equal((await mailbox.next(OwnerEventKind.RunEnded)).result.kind, Lost)
  })

  it('that is never answered ends exactly once when it is dropped', async () => {
    const arrived = new Promise<void>((resolve) => {
      server.handler = () => {
        resolve()
      }
    })
    client.perform(makeRun(server.address))
    await arrived
    const drop = {
      kind: OwnerActionKind.DropRun,
      endpoint: 'e1',
      taskId: 'c1.1.1.0',
      run: 1,
    } as const
    client.perform(drop)
    client.perform(drop)
    assert.equal((await mailbox.next(OwnerEventKind.RunEnded)).result.kind, Lost)
    assert.equal(mailbox.events.length, 0)
  })

  it('waits in the client while its share of connections is in use', async () => {
    const waiting: (() => void)[] = []
    server.handler = (_req, _body, res) => waiting.push(() => res.end('{"output":1,"runMs":1}'))
    const full = new Promise<void>((resolve) => {
      const check = setInterval(() => {
        if (waiting.length < 4) return
        clearInterval(check)
        resolve()
      }, 5)
    })
    for (let run = 1; run <= 10; run++) {
      client.perform(makeRun(server.address, { run, taskId: `c1.1.1.${run}`, maxConnections: 6 }))
    }
    await full
    renew(['c1.1.1.1'])
    const unanswered = await mailbox.next(OwnerEventKind.LeasesRenewed)
    assert.equal(unanswered.knownTaskIds, undefined)
    assert.ok(server.maxOpenConnections <= 6)
    const drained = setInterval(() => {
      for (const answer of waiting.splice(0)) answer()
    }, 5)
    for (let run = 1; run <= 10; run++) await mailbox.next(OwnerEventKind.RunEnded)
    clearInterval(drained)
    assert.ok(server.maxOpenConnections <= 6)
  })

  it('leaves no idle connection open when the endpoint is handed over', async () => {
    client.perform(makeRun(server.address))
    await mailbox.next(OwnerEventKind.RunEnded)
    assert.equal(client.openConnections('e1'), 1)
    client.perform({ kind: OwnerActionKind.CloseIdle, endpoint: 'e1' })
    for (let turn = 0; turn < 3; turn++) await new Promise((resolve) => setImmediate(resolve))
    assert.equal(client.openConnections('e1'), 0)
  })
})

describe('a control request', () => {
  it('emits the running tasks without ids that were not requested', async () => {
    answerWith(200, { running: ['a.1.1.0', 'x.1.1.0'], boot: 3 })
    renew(['a.1.1.0', 'a.1.1.1'])
    const { knownTaskIds, boot, taskIds } = await mailbox.next(OwnerEventKind.LeasesRenewed)
    assert.deepEqual([knownTaskIds, boot, taskIds.length], [['a.1.1.0'], 3, 2])
  })

  it('emits the states of stopped tasks', async () => {
    const states = [
      { taskId: 'a.1.1.0', state: 'never_seen' },
      { taskId: 'x.1.1.0', state: 'ended' },
      { taskId: 'a.1.1.1', state: 'whatever' },
    ]
    answerWith(200, { states })
    const taskIds = ['a.1.1.0', 'a.1.1.1']
    client.perform({
      kind: OwnerActionKind.StopTasks,
      endpoint: 'e1',
      address: server.address,
      taskIds,
    })
    const { results } = await mailbox.next(OwnerEventKind.StopEnded)
    assert.deepEqual(results, [{ taskId: 'a.1.1.0', state: StopState.NeverSeen }])
    assert.equal(client.counters.foreignAnswers, 1)
  })

  it('is retried once on a new connection', async () => {
    let first = true
    server.handler = (req, _body, res) => {
      if (first) req.socket.destroy()
      else res.end('{"running":[]}')
      first = false
    }
    renew([])
    assert.deepEqual((await mailbox.next(OwnerEventKind.LeasesRenewed)).knownTaskIds, [])
    assert.equal(server.connections, 2)
  })

  for (const [name, status, body] of [
    ['an error', 500, {}],
    ['no list', 200, { running: 'all' }],
  ] as const) {
    it(`counts as unanswered with ${name}`, async () => {
      answerWith(status, body)
      renew(['a.1.1.0'])
      assert.equal((await mailbox.next(OwnerEventKind.LeasesRenewed)).knownTaskIds, undefined)
    })
  }

  it('probes on a new connection each time', async () => {
    const probe = { kind: OwnerActionKind.Probe, endpoint: 'e1', address: server.address } as const
    for (const connections of [1, 2]) {
      client.perform(probe)
      assert.equal((await mailbox.next(OwnerEventKind.ProbeEnded)).alive, true)
      assert.equal(server.connections, connections)
    }
  })

  it('reports an endpoint as not alive if it does not answer a probe', async () => {
    server.handler = () => undefined
    client.perform({ kind: OwnerActionKind.Probe, endpoint: 'e1', address: server.address })
    assert.equal((await mailbox.next(OwnerEventKind.ProbeEnded)).alive, false)
  })
})
