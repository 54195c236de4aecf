import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CountedCrashBlame } from './CountedCrashBlame'
import { TaskStanding } from './CrashBlame'
import { NeverBlamed } from './NeverBlamed'

const crash = { isCrash: true, isShared: false, isPossible: false }
const silent = { isCrash: false, isShared: false, isPossible: false }
const possible = { isCrash: false, isShared: false, isPossible: true }
const possibleCrash = { isCrash: true, isShared: false, isPossible: true }
const withOthers = { isCrash: true, isShared: true, isPossible: false }

describe('a task whose endpoints were lost while it ran', () => {
  const blame = new CountedCrashBlame()
  const cases = [
    { name: 'none', losses: [], standing: TaskStanding.Clear },
    { name: 'one crash', losses: [crash], standing: TaskStanding.Suspect },
    { name: 'one silent endpoint', losses: [silent], standing: TaskStanding.Suspect },
    { name: 'two crashes', losses: [crash, crash], standing: TaskStanding.Culprit },
    { name: 'a crash and a silent endpoint', losses: [crash, silent], standing: TaskStanding.Held },
    { name: 'two silent endpoints', losses: [silent, silent], standing: TaskStanding.Held },
    {
      name: 'two losses shared with other endpoints',
      losses: [withOthers, withOthers],
      standing: TaskStanding.Clear,
    },
    {
      name: 'three losses shared with other endpoints',
      losses: [withOthers, withOthers, withOthers],
      standing: TaskStanding.Held,
    },
    { name: 'a possible loss', losses: [possible], standing: TaskStanding.Suspect },
    { name: 'two possible losses', losses: [possible, possible], standing: TaskStanding.Suspect },
    {
      name: 'a possible loss and a crash',
      losses: [possible, crash],
      standing: TaskStanding.Suspect,
    },
    {
      name: 'three possible losses',
      losses: [possible, possible, possible],
      standing: TaskStanding.Held,
    },
    {
      name: 'three crashes of endpoints where it may have started',
      losses: [possibleCrash, possibleCrash, possibleCrash],
      standing: TaskStanding.Culprit,
    },
    {
      name: 'two crashes and a possible loss',
      losses: [crash, possible, crash],
      standing: TaskStanding.Culprit,
    },
    {
      name: 'a shared loss and a crash',
      losses: [withOthers, crash],
      standing: TaskStanding.Suspect,
    },
  ]
  for (const { name, losses, standing } of cases) {
    it(`is ${standing} after ${name}`, () => {
      assert.equal(blame.standing(losses), standing)
    })
  }

  it('is always clear under the baseline', () => {
    assert.equal(new NeverBlamed().standing(), TaskStanding.Clear)
  })
})
