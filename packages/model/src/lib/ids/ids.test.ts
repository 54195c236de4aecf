import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatJobId, formatTaskId, parseJobId, parseTaskId } from '../../index'

describe('job and task ids', () => {
  it('parses the ids that it formatted', () => {
    const parts = { coordinator: 'ishikari-1a', boot: 1764701332000, sequence: 77 }
    const taskId = formatTaskId(formatJobId(parts), 119)
    const task = parseTaskId(taskId)
    assert.equal(task?.index, 119)
    assert.deepEqual(parseJobId(task.jobId), parts)
  })

  for (const text of ['', 'a', 'a.b', 'a.b.c.d', 'a..1', '../x.1.2', 'a.1.%', 'a.1.999999999999']) {
    it(`refuses ${JSON.stringify(text)}`, () => {
      assert.equal(parseJobId(text), undefined)
    })
  }

  it('refuses a task id whose index is not a number', () => {
    assert.equal(parseTaskId('a.1.2.x'), undefined)
  })
})
