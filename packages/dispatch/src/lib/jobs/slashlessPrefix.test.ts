import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import {
  AskJobSchema,
  JobQuestionKind,
  JobStepSchema,
  JobVerdict,
  makeSteppedJob,
  makeSubmitJob,
  RoutingTableSchema,
} from '@cherryhitch/protocol'
import type { JobOutcome } from '@cherryhitch/protocol'
import { DispatchActionKind } from '../DispatchAction'
import type { DispatchAction } from '../DispatchAction'
import { DispatchEventKind } from '../DispatchEvent'
import { DispatchMachine } from '../DispatchMachine'

/** A leader with a route of the prefix `/p`, which queues its jobs. */
class Leader {
  readonly #machine = new DispatchMachine({})

  constructor() {
    const routes = [{ name: 'r', host: 'h', pathPrefix: '/p', service: 's' }]
    const table = create(RoutingTableSchema, { version: 1, routes, services: ['s'] })
    const kind = DispatchEventKind.BecomeLeader
    this.#machine.step(0, { kind, term: 1, table, drainedZones: new Set() })
  }

  submit(path: string, jobId: string): JobVerdict | undefined {
    const step = create(JobStepSchema, { count: 1, estimateMs: 50, needs: { cpuMillis: 1 } })
    const spec = makeSteppedJob(jobId, 'p', [step])
    const waits = { remainingMs: 9_000, waitedMs: 0, earlierAttempts: 0 }
    const req = makeSubmitJob({ requestId: path, host: 'h', path, spec, ...waits })
    const kind = DispatchEventKind.SubmitJob
    return answerOf(this.#machine.step(1, { kind, from: 'e', req }))?.verdict
  }

  ask(path: string, kind: JobQuestionKind): JobOutcome | undefined {
    const req = create(AskJobSchema, { requestId: '1', kind, host: 'h', path })
    const event = { kind: DispatchEventKind.QueryJob, from: 'e', req } as const
    return answerOf(this.#machine.step(2, event))
  }
}

function answerOf(actions: readonly DispatchAction[]): JobOutcome | undefined {
  return actions.flatMap((action) => {
    return action.kind === DispatchActionKind.Answer ? action.outcome : []
  })[0]
}

describe('a route whose prefix does not end with a slash', () => {
  for (const path of ['/pj', '/p/j']) {
    it(`answers for a job that was submitted to ${path}, and cancels it`, () => {
      const leader = new Leader()
      assert.equal(leader.submit(path, 'j'), undefined)
      assert.equal(leader.ask(path, JobQuestionKind.STATE)?.verdict, JobVerdict.QUEUED)
      assert.equal(leader.ask('/p', JobQuestionKind.STATE)?.verdict, JobVerdict.COUNTED)
      assert.equal(leader.ask('/p', JobQuestionKind.STATE)?.pending, 1)
      assert.equal(leader.ask(path, JobQuestionKind.CANCEL)?.verdict, JobVerdict.CANCELLED)
    })
  }

  it('takes no job whose id is only the end of what follows the prefix', () => {
    assert.equal(new Leader().submit('/pxj', 'j'), JobVerdict.NO_ROUTE)
  })
})
