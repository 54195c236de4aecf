import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { ClaimVerdict, CommandAnswerSchema, CommandResult } from '@cherryhitch/protocol'
import type { CommandAnswer } from '@cherryhitch/protocol'
import { claimEnd, keyClaim } from '../testing/commands'
import { ClaimBatcher } from './ClaimBatcher'
import { ClaimEndBatcher } from './ClaimEndBatcher'

function answer(commandId: string, result: CommandResult, count = 0): CommandAnswer {
  const claims = Array.from({ length: count }, () => ({ verdict: ClaimVerdict.GRANTED }))
  return create(CommandAnswerSchema, { commandId, result, claims })
}

function collect(batcher: ClaimBatcher, keys: readonly string[], deadline = 1_000): string[] {
  const outcomes: string[] = []
  for (const key of keys) {
    batcher.add({
      claim: keyClaim(key, `job ${key}`),
      deadline,
      done: (outcome) => {
        if (outcome.err) outcomes.push(`${key} unknown`)
        else outcomes.push(`${key} ${outcome.val === undefined ? 'not claimed' : 'answered'}`)
      },
    })
  }
  return outcomes
}

describe('ClaimBatcher', () => {
  it('collects claims while a command is in flight', () => {
    const batcher = new ClaimBatcher('x')
    collect(batcher, ['k1'])
    const first = batcher.next(0)
    collect(batcher, ['k2', 'k3'])
    assert.equal(batcher.next(0), undefined)
    batcher.onAnswer(answer(first?.commandId ?? '', CommandResult.APPLIED, 1))
    const second = batcher.next(0)
    assert.ok(second?.change.case === 'claimKeys')
    assert.equal(second.change.value.claims.length, 2)
  })

  const table: [CommandResult, number, string][] = [
    [CommandResult.APPLIED, 1, 'k answered'],
    [CommandResult.APPLIED, 0, 'k unknown'],
    [CommandResult.UNAVAILABLE, 0, 'k not claimed'],
    [CommandResult.UNKNOWN, 0, 'k unknown'],
    [CommandResult.REJECTED, 0, 'k unknown'],
  ]
  for (const [result, count, expected] of table) {
    it(`reports "${expected}" after ${CommandResult[result]} with ${count} answers`, () => {
      const batcher = new ClaimBatcher('x')
      const outcomes = collect(batcher, ['k'])
      const command = batcher.next(0)
      assert.ok(batcher.onAnswer(answer(command?.commandId ?? '', result, count)))
      assert.deepEqual(outcomes, [expected])
    })
  }

  it('reports a claim that expires before it is sent as not claimed', () => {
    const batcher = new ClaimBatcher('x')
    collect(batcher, ['k1'])
    batcher.next(0)
    const outcomes = collect(batcher, ['k2'], 500)
    batcher.next(500)
    assert.deepEqual(outcomes, ['k2 not claimed'])
  })
})

describe('ClaimEndBatcher', () => {
  it('repeats a command under the same id until it is committed', () => {
    const batcher = new ClaimEndBatcher('x')
    batcher.add(claimEnd('k', 'job', 'answer'))
    const first = batcher.next(0)
    const commandId = first?.commandId ?? ''
    for (const result of [CommandResult.UNKNOWN, CommandResult.UNAVAILABLE]) {
      batcher.onAnswer(0, answer(commandId, result))
      assert.equal(batcher.next(100), undefined)
      assert.equal(batcher.next(600)?.commandId, commandId)
    }
    batcher.onAnswer(700, answer(commandId, CommandResult.APPLIED))
    assert.equal(batcher.next(10_000), undefined)
  })

  it('bounds the pending ends and counts the dropped ones', () => {
    const batcher = new ClaimEndBatcher('x')
    for (let at = 0; at < 20_005; at++) batcher.add(claimEnd(`k${at}`, 'job', 'a'))
    assert.equal(batcher.pendingCount, 20_000)
    assert.equal(batcher.droppedCount, 5)
  })
})
