import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { Envelope } from '@cherryhitch/protocol'
import { EndpointAnnouncementSchema, EndpointState, PlaceTasksSchema } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { EndpointServer } from './fixtures/EndpointServer'
import { JOB, makePreset, SERVICE } from './fixtures/OwnerFixture'
import { OwnerEventKind } from './OwnerEvent'
import { startOwner } from './startOwner'

/** A promise that is resolved from outside. */
class Deferred<T> {
  resolve: (value: T) => void = () => undefined
  readonly value = new Promise<T>((resolve) => (this.resolve = resolve))
}

describe('a started owner', () => {
  it('runs a task at an endpoint, reports it, and drains', async () => {
    const server = new EndpointServer()
    await server.listen()
    const reported = new Deferred<{ to: string; envelope: Envelope }>()
    const drained = new Deferred<undefined>()
    const spans: string[] = []
    const program = Effect.gen(function* () {
      const owner = yield* startOwner({
        instance: 'o1',
        zone: 'north',
        boot: 1,
        preset: makePreset(),
        send: (to, envelope) => {
          reported.resolve({ to, envelope })
        },
        onSummaryChanged: () => undefined,
        onSpan: ({ name }) => spans.push(name),
        onDrained: () => {
          drained.resolve(undefined)
        },
        log: () => undefined,
      })
      const announcement = create(EndpointAnnouncementSchema, {
        endpoint: 'e1',
        service: SERVICE,
        zone: 'north',
        address: server.address,
        slots: 1,
        connections: 8,
        boot: 1,
        state: EndpointState.SERVING,
      })
      owner.tell({ kind: OwnerEventKind.Heartbeat, announcement })
      const value = create(PlaceTasksSchema, {
        jobId: JOB,
        deadlineInMs: 5000,
        jobRemaining: 1,
        tasks: [{ index: 0, spec: { service: SERVICE, payload: '1' }, estimateMs: 10 }],
        traceparent: `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`,
      })
      const message = { case: 'placeTasks', value } as const
      owner.tell({ kind: OwnerEventKind.Message, from: 'c1', message })
      const { to, envelope } = yield* Effect.promise(() => reported.value)
      assert.deepEqual([to, envelope.body.case], ['c1', 'taskReports'])
      assert.deepEqual([owner.tasks(), owner.ownerOf('e1', SERVICE)], [0, 'o1'])
      assert.equal(owner.summaries()[0]?.freeSlots, 1)
      assert.equal(owner.endpoints()[0]?.endpoint, 'e1')
      owner.tell({ kind: OwnerEventKind.Drain })
      yield* Effect.promise(() => drained.value)
      assert.deepEqual(owner.summaries(), [])
      return owner.counters().succeeded + owner.clientCounters().requests
    })
    assert.equal(await Effect.runPromise(Effect.scoped(program)), 2)
    assert.deepEqual(spans, ['owner.queue', 'owner.run'])
    await server.close()
  })
})
