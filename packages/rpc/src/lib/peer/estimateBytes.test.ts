import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { toBinary } from '@bufbuild/protobuf'
import { EnvelopeSchema, envelope } from '@cherryhitch/protocol'
import { estimateBytes } from './estimateBytes'

describe('estimateBytes', () => {
  const long = 'é漢😀'.repeat(500)
  const messages = [
    envelope({ case: 'jobQuery', value: {} }),
    envelope({ case: 'jobQuery', value: { jobId: long } }),
    envelope({
      case: 'cancelTasks',
      value: { jobs: [{ jobId: 'a.1.2', indexes: Array.from({ length: 300 }, (_, i) => i) }] },
    }),
    envelope({ case: 'installSnapshot', value: { term: -1, snapshot: { audit: [{}, {}] } } }),
    envelope({
      case: 'placeTasks',
      value: {
        jobId: 'a.1.2',
        deadlineInMs: 1e300,
        tasks: [{ index: 2 ** 32 - 1, spec: { payload: long, resources: { cores: 0.1 } } }, {}],
      },
    }),
    envelope({
      case: 'taskReports',
      value: { jobs: [{ jobId: '', reports: Array.from({ length: 50 }, () => ({})) }] },
    }),
  ]
  for (const message of messages) {
    it(`is not below the encoded size of ${String(message.body.case)}`, () => {
      const { length } = toBinary(EnvelopeSchema, message)
      const estimate = estimateBytes(message)
      assert.ok(estimate >= length, `${estimate} for ${length} bytes`)
      assert.ok(estimate <= 20 * length + 200, `${estimate} for ${length} bytes`)
    })
  }
})
