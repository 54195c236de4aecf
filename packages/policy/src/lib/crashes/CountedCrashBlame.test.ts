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

describe('a task under which endpoints were lost', () => {
  const blame = new CountedCrashBlame()
  const cases = [
    { name: 'none', losses: [], standing: TaskStanding.Clear },
    { name: 'one that crashed', losses: [crash], standing: TaskStanding.Suspect },
    { name: 'one that is silent', losses: [silent], standing: TaskStanding.Suspect },
    { name: 'two that crashed', losses: [crash, crash], standing: TaskStanding.Culprit },
    { name: 'a crash and a silence', losses: [crash, silent], standing: TaskStanding.Held },
    { name: 'two silences', losses: [silent, silent], standing: TaskStanding.Held },
    {
      name: 'two losses of groups',
      losses: [withOthers, withOthers],
      standing: TaskStanding.Clear,
    },
    {
      name: 'three losses of groups',
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
      name: 'three crashes under it that it may have caused before it was known to run',
      losses: [possibleCrash, possibleCrash, possibleCrash],
      standing: TaskStanding.Culprit,
    },
    {
      name: 'two crashes and a possible loss',
      losses: [crash, possible, crash],
      standing: TaskStanding.Culprit,
    },
    { name: 'a group and a crash', losses: [withOthers, crash], standing: TaskStanding.Suspect },
  ]
  for (const { name, losses, standing } of cases) {
    it(`is ${standing} after ${name}`, () => {
      assert.equal(blame.standing(losses), standing)
    })
  }

  it('is never blamed by the baseline', () => {
    assert.equal(new NeverBlamed().standing(), TaskStanding.Clear)
  })
})
