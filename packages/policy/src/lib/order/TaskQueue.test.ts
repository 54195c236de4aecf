import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { ResourcesSchema } from '@cherryhitch/protocol'
import fc from 'fast-check'
import { DeadlineFairQueue, FifoQueue, LeastWorkQueue } from '../../index'
import type { QueuedTask, TaskQueue } from '../../index'
import { ServiceRate } from './ServiceRate'

const anything = (): boolean => true

function task(jobId: string, index: number, part: Partial<QueuedTask> = {}): QueuedTask {
  return {
    taskId: `${jobId}.${index}`,
    jobId,
    caller: 'desk',
    service: 'tracing',
    deadlineAt: 1e9,
    enqueuedAt: 0,
    estimateMs: 100,
    jobRemaining: 1,
    resources: undefined,
    attempt: 0,
    ...part,
  }
}

function pushJob(
  queue: TaskQueue<QueuedTask>,
  jobId: string,
  tasks: number,
  part: Partial<QueuedTask> = {},
): void {
  for (let index = 0; index < tasks; index++) {
    queue.push(0, task(jobId, index, { jobRemaining: tasks, ...part }))
  }
}

function popAll(queue: TaskQueue<QueuedTask>, now = 0): string[] {
  const popped: string[] = []
  for (let next = queue.pop(now, anything); next; next = queue.pop(now, anything)) {
    popped.push(next.taskId)
  }
  return popped
}

const queues = [
  { name: 'FifoQueue', make: () => new FifoQueue<QueuedTask>() },
  { name: 'DeadlineFairQueue', make: () => new DeadlineFairQueue<QueuedTask>() },
  { name: 'LeastWorkQueue', make: () => new LeastWorkQueue<QueuedTask>() },
]

const command = fc.record({
  kind: fc.constantFrom('push', 'push', 'push', 'pop', 'remove', 'removeJob', 'expire', 'progress'),
  job: fc.integer({ min: 0, max: 6 }),
  index: fc.integer({ min: 0, max: 5 }),
  estimateMs: fc.integer({ min: 1, max: 500 }),
  cores: fc.constantFrom(undefined, 1, 4),
  deadline: fc.integer({ min: 0, max: 400 }),
})

for (const { name, make } of queues) {
  describe(`any order: ${name}`, () => {
    it('neither loses nor duplicates a task under random operations', () => {
      fc.assert(
        fc.property(fc.array(command, { maxLength: 120 }), (commands) => {
          const queue = make()
          const model = new Map<string, QueuedTask>()
          const drop = (gone: readonly QueuedTask[]): void => {
            for (const one of gone) assert.ok(model.delete(one.taskId), `${one.taskId} twice`)
          }
          commands.forEach(({ kind, job, index, estimateMs, cores, deadline }, now) => {
            const resources =
              cores === undefined ? undefined : create(ResourcesSchema, { cores, memoryMb: 1 })
            const one = task(`j${job}`, index, {
              caller: `c${job % 3}`,
              deadlineAt: now + deadline,
              enqueuedAt: now,
              jobRemaining: 6,
              estimateMs,
              resources,
            })
            if (kind === 'push' && !model.has(one.taskId)) {
              model.set(one.taskId, one)
              queue.push(now, one)
            }
            if (kind === 'pop') drop([queue.pop(now, anything) ?? []].flat())
            if (kind === 'remove') drop([queue.remove(one.taskId) ?? []].flat())
            if (kind === 'removeJob') drop(queue.removeJob(one.jobId))
            if (kind === 'progress') queue.noteProgress(one.jobId, index)
            if (kind === 'expire') {
              drop(queue.removeExpired(now))
              assert.ok([...model.values()].every((left) => left.deadlineAt > now))
            }
            const mine = [...model.values()].filter((left) => left.caller === one.caller)
            const workMs = [...model.values()].reduce((sum, left) => sum + left.estimateMs, 0)
            assert.equal(queue.size, model.size)
            assert.equal(queue.sizeOf(one.caller), mine.length)
            assert.ok(Math.abs(queue.queuedWorkMs - workMs) < 1e-6)
          })
          assert.deepEqual(popAll(queue, 1000).sort(), [...model.keys()].sort())
        }),
        { seed: 20261, numRuns: 300 },
      )
    })

    it('skips tasks that do not fit and keeps them', () => {
      const queue = make()
      const large = create(ResourcesSchema, { cores: 64 })
      for (let index = 0; index < 50; index++)
        queue.push(0, task('wide', index, { resources: large }))
      queue.push(0, task('small', 0))
      const fitsSmall = (one: QueuedTask): boolean => one.resources === undefined
      assert.equal(queue.pop(0, fitsSmall)?.taskId, 'small.0')
      assert.equal(queue.pop(0, fitsSmall), undefined)
      assert.equal(queue.size, 50)
    })
  })
}

describe('the rate of a service', () => {
  it('is about the number of slots, whichever tasks filled them initially', () => {
    const rate = new ServiceRate()
    for (let n = 0; n < 24; n++) rate.recordPop(0, 200, true)
    for (let now = 1; now <= 2400; now++) if (now % 25 === 0) rate.recordPop(now, 200, true)
    assert.ok(Math.abs(rate.read(2400) - 8) < 0.1, `${rate.read(2400)}`)
  })

  it('does not change without a backlog', () => {
    const rate = new ServiceRate()
    const before = rate.read(0)
    for (let now = 0; now < 10_000; now += 50) rate.recordPop(now, 200, false)
    assert.equal(rate.read(10_000), before)
  })
})

describe('order by due time', () => {
  it('serves a single-task job before a job of many tasks', () => {
    const queue = new DeadlineFairQueue<QueuedTask>()
    pushJob(queue, 'bulk', 120)
    pushJob(queue, 'enquiry', 1, { enqueuedAt: 50 })
    assert.equal(queue.pop(50, anything)?.jobId, 'enquiry')
  })

  it('prefers a job that is nearly finished', () => {
    const queue = new DeadlineFairQueue<QueuedTask>()
    pushJob(queue, 'fresh', 10)
    pushJob(queue, 'nearly', 2, { jobRemaining: 12 })
    assert.equal(queue.pop(50, anything)?.jobId, 'fresh')
    queue.noteProgress('nearly', 2)
    assert.equal(queue.pop(50, anything)?.jobId, 'nearly')
  })

  it('starts the longest task of a job first', () => {
    const queue = new DeadlineFairQueue<QueuedTask>()
    for (const estimateMs of [10, 500, 40]) {
      queue.push(0, task('mixed', estimateMs, { estimateMs, jobRemaining: 3 }))
    }
    assert.deepEqual(popAll(queue), ['mixed.500', 'mixed.40', 'mixed.10'])
  })

  it('serves a large job in time when its deadline nears', () => {
    const queue = new DeadlineFairQueue<QueuedTask>()
    pushJob(queue, 'bulk', 100, { deadlineAt: 1650 })
    pushJob(queue, 'enquiry', 1, { enqueuedAt: 1500, estimateMs: 100 })
    assert.equal(queue.pop(1500, anything)?.jobId, 'bulk')
  })

  it('serves a job that can no longer meet its deadline after jobs that can', () => {
    const queue = new DeadlineFairQueue<QueuedTask>()
    pushJob(queue, 'hopeless', 1, { deadlineAt: 90, estimateMs: 200 })
    pushJob(queue, 'fine', 50, { deadlineAt: 60_000 })
    assert.equal(queue.pop(10, anything)?.jobId, 'fine')
    assert.equal(popAll(queue, 10).at(-1), 'hopeless.0')
  })

  it('keeps a caller that floods the queue from delaying the others', () => {
    const queue = new DeadlineFairQueue<QueuedTask>()
    for (let job = 0; job < 200; job++) pushJob(queue, `flood${job}`, 1, { caller: 'flood' })
    pushJob(queue, 'other', 1, { caller: 'quiet', enqueuedAt: 100, estimateMs: 300 })
    for (let job = 0; job < 50; job++) {
      pushJob(queue, `more${job}`, 1, { caller: 'flood', enqueuedAt: 120 })
    }
    const order = popAll(queue, 150)
    assert.ok(order.indexOf('other.0') < order.findIndex((id) => id.startsWith('more')))
  })

  it('starves no job: jobs that arrive after its due time never overtake it', () => {
    const stretched = fc.record({
      tasks: fc.integer({ min: 1, max: 60 }),
      arrivals: fc.integer({ min: 1, max: 200 }),
    })
    fc.assert(
      fc.property(stretched, ({ tasks, arrivals }) => {
        const queue = new DeadlineFairQueue<QueuedTask>()
        pushJob(queue, 'bulk', tasks)
        const dueAt = tasks * 100
        for (let n = 0; n < arrivals; n++) {
          pushJob(queue, `late${n}`, 1, { enqueuedAt: dueAt + n, caller: `c${n}`, estimateMs: 1 })
        }
        const first = popAll(queue, dueAt).slice(0, tasks)
        assert.ok(first.every((id) => id.startsWith('bulk')))
      }),
      { seed: 20262, numRuns: 50 },
    )
  })
})
