import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { JobSpecSchema } from '@cherryhitch/protocol'
import type { TaskSpecSchema } from '@cherryhitch/protocol'
import { contentHash } from './contentHash'

interface Init {
  readonly idempotent?: boolean
  readonly deadlineInMs?: number
  readonly traceparent?: string
  readonly tasks?: MessageInitShape<typeof TaskSpecSchema>[]
}

const base: Init = {
  tasks: [{ service: 'bill', payload: '{"a":1}', resources: { cores: 1 } }],
}

function hashOf(init: Init): string {
  return contentHash(create(JobSpecSchema, { ...base, ...init }))
}

describe('the content hash of a job', () => {
  const same: readonly Init[] = [
    { deadlineInMs: 5 },
    { traceparent: '00-1' },
    { tasks: [{ service: 'bill', payload: '{"a":1}', resources: { cores: 1 }, expectedRunMs: 9 }] },
  ]
  for (const init of same) {
    it(`is the same with ${JSON.stringify(init)}`, () => {
      assert.equal(hashOf(init), hashOf({}))
    })
  }

  const others: readonly Init[] = [
    { idempotent: true },
    { tasks: [] },
    { tasks: [{ service: 'bill', payload: '{"a":1}' }] },
    { tasks: [{ service: 'bill', payload: '{"a":2}', resources: { cores: 1 } }] },
    { tasks: [{ service: 'bil', payload: 'l{"a":1}', resources: { cores: 1 } }] },
    { tasks: [{ service: 'bill', payload: '{"a":1}', resources: { accelerators: 1 } }] },
    { tasks: [...(base.tasks ?? []), ...(base.tasks ?? [])] },
  ]
  for (const init of others) {
    it(`differs with ${JSON.stringify(init)}`, () => {
      assert.notEqual(hashOf(init), hashOf({}))
    })
  }
})
