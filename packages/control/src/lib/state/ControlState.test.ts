import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import {
  AuditKind,
  ClaimVerdict,
  CommandResult,
  CommandSchema,
  ControlSnapshotSchema,
  HealthRule,
} from '@cherryhitch/protocol'
import type { Command, PresetDefinition } from '@cherryhitch/protocol'
import { claimEnd, claimKeys, keyClaim, setPreset } from '../testing/commands'
import { EVERY_INSTANCE } from '../voter/SettingsRollout'
import { verifyAudit } from './auditChain'
import { ControlState, defaultControlStateOptions } from './ControlState'
import { genesisSnapshot } from './genesis'
import { presetInForceAt } from './presetInForceAt'
import { shippedPresets, validatePreset } from './presets'

function firstState(options = defaultControlStateOptions): ControlState {
  return new ControlState(genesisSnapshot('test', ['a', 'b', 'c']), options)
}

function reload(state: ControlState, options = defaultControlStateOptions): ControlState {
  const bytes = toBinary(ControlSnapshotSchema, state.snapshot(1, 1))
  return new ControlState(fromBinary(ControlSnapshotSchema, bytes), options)
}

function define(
  commandId: string,
  definition: Partial<PresetDefinition>,
  version: number,
): Command {
  const [ordinary] = shippedPresets
  assert.ok(ordinary)
  const value = {
    definition: { ...ordinary, ...definition },
    fromVersion: version,
    operator: 'sato',
    reason: 'test',
  }
  return create(CommandSchema, { commandId, change: { case: 'definePreset', value } })
}

function inForce(commandId: string, instance: string, version: number, atMs: number): Command {
  const value = { instances: [{ instance, boot: 1, version, atMs }] }
  return create(CommandSchema, { commandId, change: { case: 'recordInForce', value } })
}

let commands = 0
function claim(state: ControlState, key: string, job: string, atMs = 1, hash = 'hash'): string {
  const claimed = { ...keyClaim(key, job, hash), atMs }
  const [answer] = state.apply(claimKeys(`claim${++commands}`, [claimed])).claims
  return ClaimVerdict[answer?.verdict ?? 0] ?? ''
}

function end(state: ControlState, key: string, job: string, answer: string, atMs = 1): void {
  const value = { ends: [{ ...claimEnd(key, job, answer), atMs }] }
  const commandId = `end${++commands}`
  state.apply(create(CommandSchema, { commandId, change: { case: 'endClaims', value } }))
}

describe('presets', () => {
  it('that ship with the program are valid, including their descriptions', () => {
    for (const preset of shippedPresets) assert.ok(validatePreset(preset).ok, preset.name)
  })

  const refused: Record<string, Partial<PresetDefinition>> = {
    'without a name': { name: '' },
    'without a description': { description: '' },
    'that admit no job': { jobsInFlightPerInstance: 0 },
    'with a share above one': { callerQueueShare: 1.5 },
    'with a share that is not a number': { callerQueueShare: NaN },
    'with a negative retry budget': { retryBudget: -0.1 },
    'without a health rule': { healthRule: HealthRule.UNSPECIFIED },
  }
  for (const [what, fields] of Object.entries(refused)) {
    it(`${what} are refused and change nothing`, () => {
      const state = firstState()
      const answer = state.apply(define('c', fields, 1))
      assert.equal(answer.result, CommandResult.REJECTED)
      assert.equal(state.settings.version, 1)
      assert.equal(state.audit(0, 10).length, 1)
    })
  }

  it('change by one version each, recorded with operator, reason, from and to', () => {
    const state = firstState()
    assert.equal(state.apply(define('c1', { name: 'night' }, 1)).result, CommandResult.APPLIED)
    assert.equal(state.apply(setPreset('c2', 'night', 2)).result, CommandResult.APPLIED)
    const [, defined, set] = state.audit(0, 10)
    assert.equal(defined?.kind, AuditKind.PRESET_DEFINED)
    assert.ok(defined.to.includes('"night"'))
    const { operator, reason, from, to, version, commandId } = set ?? {}
    assert.deepEqual(
      { operator, reason, from, to, version, commandId },
      {
        operator: 'sato',
        reason: 'test',
        from: 'ordinary',
        to: 'night',
        version: 3,
        commandId: 'c2',
      },
    )
    assert.equal(state.settings.auditHash, set?.hash)
  })

  for (const [what, command] of Object.entries({
    'an unknown name': setPreset('c', 'nowhere', 1),
    'no operator': setPreset('c', 'peak', 1, ''),
  })) {
    it(`are not set by a command with ${what}`, () => {
      const state = firstState()
      assert.equal(state.apply(command).result, CommandResult.REJECTED)
      assert.equal(state.settings.version, 1)
    })
  }
})

describe('answers', () => {
  it('to a resent command are the first ones, also after a reload from a snapshot', () => {
    let state = firstState()
    const first = state.apply(setPreset('c1', 'peak', 1))
    const conflict = state.apply(setPreset('c2', 'maintenance', 1))
    const claimed = state.apply(claimKeys('c3', [keyClaim('k', 'job1')]))
    state = reload(state)
    assert.deepEqual(state.apply(setPreset('c1', 'peak', 1)), first)
    assert.deepEqual(state.apply(setPreset('c2', 'maintenance', 1)), conflict)
    assert.deepEqual(state.apply(claimKeys('c3', [keyClaim('k', 'job1')])), claimed)
    assert.equal(state.settings.version, 2)
  })

  it('to operators are not evicted by a flood of claims', () => {
    const state = firstState({ ...defaultControlStateOptions, answerLimit: 3 })
    const first = state.apply(setPreset('c1', 'peak', 1))
    for (let key = 0; key < 20; key++) claim(state, `k${key}`, 'job')
    assert.deepEqual(state.apply(setPreset('c1', 'peak', 1)), first)
  })
})

describe('the audit log', () => {
  const alterations: Record<string, (records: ReturnType<ControlState['audit']>) => void> = {
    'an altered operator': ([, second]) => second && (second.operator = 'other'),
    'an altered time': ([, , third]) => third && (third.atMs = 99),
    'a removed record': (records) => records.splice(1, 1),
    'two records swapped': (records) => records.splice(1, 2, ...records.slice(1, 3).reverse()),
    'an inserted record': (records) => records.splice(1, 0, ...records.slice(1, 2)),
    'an altered first hash': ([first]) => first && (first.previousHash = 'f'.repeat(64)),
    'a truncated end': (records) => records.pop(),
  }
  for (const [what, alter] of Object.entries(alterations)) {
    it(`shows ${what}`, () => {
      const state = firstState()
      state.apply(setPreset('c1', 'peak', 1))
      state.apply(setPreset('c2', 'ordinary', 2))
      const { settings } = reload(state)
      const records = reload(state).audit(0, 100)
      assert.ok(verifyAudit(records, settings).ok)
      alter(records)
      assert.ok(verifyAudit(records, settings).err)
    })
  }

  it('shows which preset was in force at an instance, and whether it was out of date', () => {
    const state = firstState()
    state.apply(inForce('i1', 'a', 1, 100))
    state.apply(inForce('i2', 'b', 1, 100))
    state.apply(inForce('i3', EVERY_INSTANCE, 1, 110))
    state.apply(setPreset('c1', 'peak', 1))
    state.apply(inForce('i4', 'a', 2, 200))
    state.apply(inForce('i5', EVERY_INSTANCE, 2, 3_200))
    state.apply(inForce('i6', 'b', 2, 9_000))
    const records = reload(state).audit(0, 100)
    const read = (instance: string, time: number): [string, boolean] | undefined => {
      const found = presetInForceAt(records, instance, time)
      return found && [found.preset, found.confirmed]
    }
    assert.equal(read('a', 50), undefined)
    assert.deepEqual(read('a', 250), ['peak', true])
    assert.deepEqual(read('b', 250), ['ordinary', true])
    assert.deepEqual(
      read('b', 5_000),
      ['ordinary', false],
      'partitioned, and reported as unconfirmed',
    )
    assert.deepEqual(read('b', 9_000), ['peak', true])
    assert.deepEqual(read(EVERY_INSTANCE, 3_000), ['ordinary', true])
    assert.deepEqual(read(EVERY_INSTANCE, 3_200), ['peak', true])
  })
})

describe('claims', () => {
  it('are granted to one job and held for others, who get its answer after the end', () => {
    const state = firstState()
    assert.equal(claim(state, 'k', 'job1'), 'GRANTED')
    assert.equal(claim(state, 'k', 'job1'), 'GRANTED', 'the same job may claim again')
    assert.equal(claim(state, 'k', 'job2'), 'HELD')
    assert.equal(claim(state, 'k', 'job2', 1, 'other'), 'MISMATCH')
    end(state, 'k', 'job2', 'not mine')
    end(state, 'k', 'job1', 'answer')
    end(state, 'k', 'job1', 'second answer')
    const [held] = reload(state).apply(claimKeys('last', [keyClaim('k', 'job3')])).claims
    assert.equal(held?.verdict, ClaimVerdict.HELD)
    assert.equal(held.jobId, 'job1')
    assert.equal(new TextDecoder().decode(held.answer), 'answer')
  })

  it('that were released may be claimed by another job, but never by the released job', () => {
    let state = firstState()
    claim(state, 'k', 'job1')
    end(state, 'k', 'job1', '')
    end(state, 'late', 'job2', '')
    state = reload(state)
    assert.equal(claim(state, 'late', 'job2'), 'HELD', 'the release arrived before its claim')
    assert.equal(claim(state, 'k', 'job1'), 'HELD')
    assert.equal(claim(state, 'k', 'job3'), 'GRANTED')
    assert.equal(claim(state, 'k', 'job4'), 'HELD')
  })

  it('are refused when the table is full; only ended ones past retention are evicted', () => {
    const options = { ...defaultControlStateOptions, claimLimit: 2, claimRetentionMs: 100 }
    let state = firstState(options)
    claim(state, 'k1', 'job1', 0)
    claim(state, 'k2', 'job2', 0)
    assert.equal(claim(state, 'k3', 'job3', 1_000_000), 'FULL', 'none has ended')
    end(state, 'k2', 'job2', 'answer', 1_000_000)
    assert.equal(claim(state, 'k3', 'job3', 1_000_099), 'FULL', 'the answer is still kept')
    state = reload(state, options)
    assert.equal(claim(state, 'k3', 'job3', 1_000_100), 'GRANTED')
    assert.equal(
      claim(state, 'k1', 'job9', 9_000_000),
      'HELD',
      'a claim that has not ended is never evicted',
    )
  })
})
