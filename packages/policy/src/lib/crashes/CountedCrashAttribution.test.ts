import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CountedCrashAttribution } from './CountedCrashAttribution'
import { CrashSuspicion } from './CrashAttribution'
import { NoCrashAttribution } from './NoCrashAttribution'

const crash = { isCrash: true, isShared: false, isPossible: false }
const silent = { isCrash: false, isShared: false, isPossible: false }
const possible = { isCrash: false, isShared: false, isPossible: true }
const possibleCrash = { isCrash: true, isShared: false, isPossible: true }
const withOthers = { isCrash: true, isShared: true, isPossible: false }

describe('a task whose endpoints were lost while it ran', () => {
  const blame = new CountedCrashAttribution()
  const cases = [
    { name: 'none', losses: [], standing: CrashSuspicion.Clear },
    { name: 'one crash', losses: [crash], standing: CrashSuspicion.Suspect },
    { name: 'one silent endpoint', losses: [silent], standing: CrashSuspicion.Suspect },
    { name: 'two crashes', losses: [crash, crash], standing: CrashSuspicion.Culprit },
    {
      name: 'a crash and a silent endpoint',
      losses: [crash, silent],
      standing: CrashSuspicion.Held,
    },
    { name: 'two silent endpoints', losses: [silent, silent], standing: CrashSuspicion.Held },
    {
      name: 'two losses shared with other endpoints',
      losses: [withOthers, withOthers],
      standing: CrashSuspicion.Clear,
    },
    {
      name: 'three losses shared with other endpoints',
      losses: [withOthers, withOthers, withOthers],
      standing: CrashSuspicion.Held,
    },
    { name: 'a possible loss', losses: [possible], standing: CrashSuspicion.Suspect },
    { name: 'two possible losses', losses: [possible, possible], standing: CrashSuspicion.Suspect },
    {
      name: 'a possible loss and a crash',
      losses: [possible, crash],
      standing: CrashSuspicion.Suspect,
    },
    {
      name: 'three possible losses',
      losses: [possible, possible, possible],
      standing: CrashSuspicion.Held,
    },
    {
      name: 'three crashes of endpoints where it may have started',
      losses: [possibleCrash, possibleCrash, possibleCrash],
      standing: CrashSuspicion.Culprit,
    },
    {
      name: 'two crashes and a possible loss',
      losses: [crash, possible, crash],
      standing: CrashSuspicion.Culprit,
    },
    {
      name: 'a shared loss and a crash',
      losses: [withOthers, crash],
      standing: CrashSuspicion.Suspect,
    },
  ]
  for (const { name, losses, standing } of cases) {
    it(`is ${standing} after ${name}`, () => {
      assert.equal(blame.suspicionOf(losses), standing)
    })
  }

  it('is always clear under the baseline', () => {
    assert.equal(new NoCrashAttribution().suspicionOf(), CrashSuspicion.Clear)
  })
})
