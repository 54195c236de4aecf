import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { Command } from '@cherryhitch/protocol'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import { CallerOutcome, checkLedgers } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import { DrainEnd } from '../instance/Instance'
import type { ClusterFixture } from './clusterFixture'
import { eventually, jobOf, withFixture } from './clusterFixture'

function assertInvariants({ endpointLedger, callerLedger }: ClusterFixture): void {
  const report = checkLedgers(endpointLedger, callerLedger)
  assert.deepEqual(report.violations, [])
}

function at<T>(items: readonly T[], index: number): T {
  const item = items[index]
  assert.ok(item !== undefined)
  return item
}

function setPreset(name: string, commandId: string, operator: string): Command {
  const change = { name, fromVersion: 1, operator, reason: 'test', atMs: 0 }
  return create(CommandSchema, {
    commandId,
    change: { case: 'setPreset', value: change },
  })
}

describe('startCluster', () => {
  it('answers jobs completely through every instance', () =>
    withFixture((fixture) =>
      Effect.gen(function* () {
        for (const [index, instance] of fixture.instances.entries()) {
          const pool = yield* fixture.poolAt(instance)
          yield* Effect.sleep(50)
          const runTimes = Array.from({ length: 20 }, (_, i) => 10 + i)
          const answer = yield* pool.submit(jobOf(`job-${index}`, runTimes))
          assert.equal(answer.outcome, CallerOutcome.Answered, answer.detail)
        }
        assert.equal(fixture.endpointLedger.runs.length, 20 * fixture.instances.length)
        assertInvariants(fixture)
      }),
    ))

  it('runs a non-idempotent job once, however often and wherever it is submitted', () =>
    withFixture((fixture) =>
      Effect.gen(function* () {
        const job = jobOf('demand', [60], { key: 'claim-7', idempotent: false })
        const pools = yield* Effect.forEach(fixture.instances, fixture.poolAt)
        yield* Effect.sleep(50)
        const answers = yield* Effect.forEach(pools, (pool) => pool.submit(job), {
          concurrency: 'unbounded',
        })
        const again = yield* at(pools, 0).submit(job)
        for (const answer of [...answers, again]) {
          assert.equal(answer.outcome, CallerOutcome.Answered, answer.detail)
        }
        assert.equal(fixture.endpointLedger.runs.length, 1)
        assertInvariants(fixture)
      }),
    ))

  it('applies one of two conflicting changes, and names its operator to the other', () =>
    withFixture(({ instances }) =>
      Effect.gen(function* () {
        const [first, second] = yield* Effect.all(
          [
            at(instances, 1).control.propose(setPreset('peak', 'c1', 'mori')),
            at(instances, 2).control.propose(setPreset('maintenance', 'c2', 'patel')),
          ],
          { concurrency: 'unbounded' },
        )
        const results = [first.result, second.result].sort((a, b) => a - b)
        assert.deepEqual(results, [CommandResult.APPLIED, CommandResult.CONFLICT])
        const winner = first.result === CommandResult.APPLIED ? 'peak' : 'maintenance'
        const loser = first.result === CommandResult.APPLIED ? second : first
        assert.match(loser.detail, winner === 'peak' ? /mori/ : /patel/)
        yield* eventually('the winner is in force everywhere', () =>
          instances.every(({ control }) => control.settings()?.settings.preset === winner),
        )
      }),
    ))

  it('drains an instance without cutting off a job', () =>
    withFixture((fixture) =>
      Effect.gen(function* () {
        const leaving = at(fixture.instances, 1)
        const jobs = Array.from({ length: 30 }, (_, index) => ({
          ...jobOf(`drain-${index}`, [100, 200, 300]),
          arrivalMs: index * 40,
        }))
        const drained = Effect.delay(leaving.drain(), 400)
        const [end] = yield* Effect.all([drained, fixture.pool.play(jobs)], {
          concurrency: 'unbounded',
        })
        assert.equal(end, DrainEnd.Complete)
        const outcomes = fixture.callerLedger.attempts.map(({ outcome }) => outcome)
        assert.deepEqual(new Set(outcomes), new Set([CallerOutcome.Answered]))
        assertInvariants(fixture)
      }),
    ))

  it('starts no task on a leaving endpoint, and loses no job', () =>
    withFixture((fixture) =>
      Effect.gen(function* () {
        const endpoint = at(fixture.endpoints, 0)
        const jobs = Array.from({ length: 30 }, (_, index) => ({
          ...jobOf(`leave-${index}`, [100, 150]),
          arrivalMs: index * 40,
        }))
        const leaving = Effect.delay(
          Effect.sync(() => {
            endpoint.leave()
          }),
          300,
        )
        yield* Effect.all([leaving, fixture.pool.play(jobs)], { concurrency: 'unbounded' })
        const answered = fixture.callerLedger.attempts.filter(
          ({ outcome }) => outcome === CallerOutcome.Answered,
        )
        assert.equal(answered.length, jobs.length)
        assertInvariants(fixture)
      }),
    ))
})
