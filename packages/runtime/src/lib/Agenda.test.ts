import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Agenda, TieOrder } from './Agenda'

describe('the agenda of a simulated run', () => {
  it('does what is due in order of time, at its time', () => {
    const agenda = new Agenda({ startMs: 0 })
    const done: [string, number][] = []
    for (const [name, ms] of [
      ['late', 30],
      ['early', 10],
      ['middle', 20],
    ] as const) {
      agenda.after(ms, () => {
        done.push([name, agenda.now])
      })
    }
    agenda.run(25)
    assert.deepEqual(done, [
      ['early', 10],
      ['middle', 20],
    ])
    assert.equal(agenda.now, 25)
    agenda.runUntil(30)
    assert.deepEqual(done.at(-1), ['late', 30])
  })

  it('does on the way what is asked for on the way', () => {
    const agenda = new Agenda({ startMs: 0 })
    const done: number[] = []
    const again = (): void => {
      done.push(agenda.now)
      agenda.after(10, again)
    }
    agenda.after(0, again)
    agenda.run(30)
    assert.deepEqual(done, [0, 10, 20, 30])
  })

  for (const [ties, expected] of [
    [TieOrder.FirstAsked, [0, 1, 2, 3, 4]],
    [TieOrder.LastAsked, [4, 3, 2, 1, 0]],
  ] as const) {
    it(`keeps to the order of ties: ${ties}`, () => {
      const agenda = new Agenda({ ties })
      const done: number[] = []
      for (let i = 0; i < 5; i++) {
        agenda.after(10, () => {
          done.push(i)
        })
      }
      agenda.run(10)
      assert.deepEqual(done, expected)
    })
  }
})
