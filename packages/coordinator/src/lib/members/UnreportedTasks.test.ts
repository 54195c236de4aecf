import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { UnreportedTasks } from './UnreportedTasks'

describe('tasks that no summary of the owner includes yet', () => {
  it('are discarded with the first summary that can include them', () => {
    const tasks = new UnreportedTasks()
    tasks.add(100, 3)
    tasks.add(110, 2)
    tasks.discardBefore(105)
    assert.equal(tasks.count, 2)
    tasks.discardBefore(111)
    assert.equal(tasks.count, 0)
  })

  it('are removed if they end before any summary', () => {
    const tasks = new UnreportedTasks()
    tasks.add(100, 1)
    tasks.add(110, 1)
    tasks.removeOne(110)
    tasks.removeOne(100)
    assert.equal(tasks.count, 0)
  })

  it('are not removed twice: neither after a summary nor more often than they were added', () => {
    const tasks = new UnreportedTasks()
    tasks.add(100, 1)
    tasks.add(120, 2)
    tasks.discardBefore(110)
    tasks.removeOne(100)
    assert.equal(tasks.count, 2)
    for (let i = 0; i < 5; i++) tasks.removeOne(120)
    assert.equal(tasks.count, 0)
  })
})
