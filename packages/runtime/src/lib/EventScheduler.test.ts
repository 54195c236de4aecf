import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EventScheduler, TieOrder } from './EventScheduler'

describe('EventScheduler', () => {
  it('runs events in order of due time, with the clock set to that time', () => {
    const agenda = new EventScheduler({ startMs: 0 })
    const ran: [string, number][] = []
    for (const [name, ms] of [
      ['late', 30],
      ['early', 10],
      ['middle', 20],
    ] as const) {
      agenda.after(ms, () => {
        ran.push([name, agenda.now])
      })
    }
    agenda.run(25)
    assert.deepEqual(ran, [
      ['early', 10],
      ['middle', 20],
    ])
    assert.equal(agenda.now, 25)
    agenda.runUntil(30)
    assert.deepEqual(ran.at(-1), ['late', 30])
  })

  it('runs events that are scheduled by other events within the same run', () => {
    const agenda = new EventScheduler({ startMs: 0 })
    const ran: number[] = []
    const repeat = (): void => {
      ran.push(agenda.now)
      agenda.after(10, repeat)
    }
    agenda.after(0, repeat)
    agenda.run(30)
    assert.deepEqual(ran, [0, 10, 20, 30])
  })

  for (const [tieOrder, expected] of [
    [TieOrder.Fifo, [0, 1, 2, 3, 4]],
    [TieOrder.Lifo, [4, 3, 2, 1, 0]],
  ] as const) {
    it(`runs simultaneous events in tie order ${tieOrder}`, () => {
      const agenda = new EventScheduler({ tieOrder })
      const ran: number[] = []
      for (let i = 0; i < 5; i++) {
        agenda.after(10, () => {
          ran.push(i)
        })
      }
      agenda.run(10)
      assert.deepEqual(ran, expected)
    })
  }
})
