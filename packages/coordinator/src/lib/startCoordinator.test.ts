import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { Envelope } from '@cherryhitch/protocol'
import { JobState, TaskReportsSchema } from '@cherryhitch/protocol'
import { Effect, Fiber } from 'effect'
import { CoordinatorEventKind } from './CoordinatorEvent'
import { makeSpec, makeView, SELF, succeeded, testPreset } from './fixtures/CoordinatorFixture'
import type { CoordinatorActor } from './startCoordinator'
import { startCoordinator } from './startCoordinator'

interface Started {
  readonly part: CoordinatorActor
  readonly sent: Envelope[]
  readonly drained: () => boolean
}

/** Starts a coordinator whose own instance is the only owner. */
function withCoordinator<A>(test: (started: Started) => Effect.Effect<A>): Promise<A> {
  const sent: Envelope[] = []
  let drained = false
  const started = startCoordinator({
    instance: SELF,
    zone: 'a',
    boot: 100,
    preset: testPreset,
    send: (_to, envelope) => {
      sent.push(envelope)
    },
    claim: () => undefined,
    endClaim: () => undefined,
    onSpan: () => undefined,
    onDrained: () => {
      drained = true
    },
    log: () => undefined,
  })
  const program = Effect.flatMap(started, (part) => {
    const members = [makeView(Date.now(), { instance: SELF })]
    part.tell({ kind: CoordinatorEventKind.Members, members })
    return test({ part, sent, drained: () => drained })
  })
  return Effect.runPromise(Effect.scoped(program))
}

/** Waits until the condition holds, for at most one second. */
const until = (holds: () => boolean): Effect.Effect<void> =>
  Effect.gen(function* () {
    for (let i = 0; i < 200 && !holds(); i++) yield* Effect.sleep(5)
    assert.ok(holds())
  })

function reportSuccess(part: CoordinatorActor, envelope: Envelope | undefined): void {
  assert.ok(envelope?.body.case === 'placeTasks')
  const { jobId } = envelope.body.value
  const value = create(TaskReportsSchema, { jobs: [{ jobId, reports: [succeeded(0)] }] })
  const message = { case: 'taskReports', value } as const
  part.tell({ kind: CoordinatorEventKind.Message, from: SELF, message })
}

describe('a running coordinator', () => {
  it('answers a submission when its job has ended', () =>
    withCoordinator(({ part, sent }) =>
      Effect.gen(function* () {
        const fiber = yield* Effect.forkChild(part.submit(makeSpec(), false))
        yield* until(() => sent.length === 1)
        assert.equal(part.jobs().length, 1)
        reportSuccess(part, sent[0])
        const answer = yield* Fiber.join(fiber)
        assert.equal(answer.state, JobState.SUCCEEDED)
        assert.equal(part.jobsInFlight(), 0)
      }),
    ))

  it('cancels the job if its caller is interrupted', () =>
    withCoordinator(({ part, sent }) =>
      Effect.gen(function* () {
        const fiber = yield* Effect.forkChild(part.submit(makeSpec(), false))
        yield* until(() => part.jobsInFlight() === 1)
        yield* Fiber.interrupt(fiber)
        yield* until(() => part.jobsInFlight() === 0)
        assert.equal(part.counters().callersGone, 1)
        assert.equal(sent.at(-1)?.body.case, 'cancelTasks')
      }),
    ))

  it('answers queries, and drains', () =>
    withCoordinator(({ part, drained }) =>
      Effect.gen(function* () {
        const { jobId } = yield* part.submit(makeSpec(), true)
        const question = { jobId, caller: 'desk', cancel: true, wait: false }
        const answer = yield* part.query(question)
        assert.equal(answer?.state, JobState.CANCELLED)
        assert.equal(yield* part.query({ ...question, jobId: 'none' }), undefined)
        part.tell({ kind: CoordinatorEventKind.Drain })
        yield* until(drained)
      }),
    ))
})
