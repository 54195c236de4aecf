import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JointRule } from './JointRule'
import { runJointSoak } from './runJointSoak'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]

describe('coordinators, owners and membership under random load and faults', () => {
  for (const seed of SEEDS) {
    it(`keep every promise (seed ${seed})`, () => {
      const report = runJointSoak({ seed, steps: 150 })
      assert.ok(report.succeeded > report.submissions / 10, 'hardly any job was done')
      assert.ok(report.starts > 100)
    })
  }

  it('do the same again with the same seed', () => {
    const runs = [1, 2].map(() => runJointSoak({ seed: 21, steps: 80 }))
    assert.deepEqual(runs[0], runs[1])
  })

  it('meet crashes, drains and messages that come again to a new process', () => {
    const { crashes, drains, duplicated } = runJointSoak({ seed: 3, steps: 300 })
    assert.ok(crashes > 0)
    assert.ok(drains > 0)
    assert.ok(duplicated > 0)
  })
})

function range(first: number, last: number): readonly number[] {
  return Array.from({ length: last - first + 1 }, (_, index) => first + index)
}

/** What the runs with these seeds found while a rule is broken, those that found nothing left out. */
function findIn(seeds: readonly number[], steps: number, broken: JointRule): readonly string[] {
  return seeds.flatMap((seed) => {
    try {
      runJointSoak({ seed, steps, broken })
      return []
    } catch (err) {
      return [String(err)]
    }
  })
}

describe('a run notices at once or at its end', () => {
  const startedTwice = /was started 2 times/
  const cases = [
    {
      rule: JointRule.EndpointsDedupe,
      name: 'endpoints that start an id again',
      says: startedTwice,
    },
    {
      rule: JointRule.BootsDiffer,
      name: 'instances that start again under their old boot',
      says: /was started 2 times|"not run"|instead of/,
    },
    { rule: JointRule.FencesAreTrue, name: 'a false "never seen"', says: startedTwice },
    {
      rule: JointRule.ReportsAreTrue,
      name: 'a false "not run"',
      says: /started 2 times|says "not run"/,
    },
    {
      rule: JointRule.KeysAreExclusive,
      name: 'a key granted twice',
      says: /"key.* ran as .* and as/,
    },
    { rule: JointRule.OutputsAreUnchanged, name: 'a changed output', says: /got .* instead of/ },
    { rule: JointRule.OneReply, name: 'a second reply', says: /was answered 2 times/ },
    { rule: JointRule.TasksEnd, name: 'slots that stay held', says: /holds \d+ slots of/ },
  ]
  it('placements that name no process, and reach the next one again', () => {
    // It takes a crash between a start and its receipt, so not every run meets it.
    const findings = findIn(range(1, 16), 300, JointRule.PlacementsNameBoots)
    assert.match(findings.join('\n'), startedTwice)
  })

  for (const { rule, name, says } of cases) {
    it(name, () => {
      const findings = findIn([1, 2, 3, 4], 150, rule)
      // What a run draws may miss a rule once, and the promise that it sees broken first depends on
      // the decisions, so it is enough that one of them names the rule's own.
      assert.ok(findings.length >= 3, `only ${findings.length} of 4 runs noticed`)
      assert.match(findings.join('\n'), says)
    })
  }
})
