import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DirectVoter } from '../testing/DirectVoter'
import { addLearner, awaitLeader, otherVoters, simulate } from '../testing/simulation'

const both = { from: true, to: true }
const HEARTBEAT_MS = 150
const SETTLE_MS = 2_000

/** Lets the leader's members answer its heartbeats with these last indexes for some time. */
function answerHeartbeats(voter: DirectVoter, matchIndexOf: Record<string, number>): void {
  const end = voter.now + SETTLE_MS
  while (voter.now < end) {
    voter.run(HEARTBEAT_MS)
    for (const [instance, matchIndex] of Object.entries(matchIndexOf)) {
      voter.appendReply(instance, true, matchIndex, voter.lastAppendTo(instance).round)
    }
  }
}

function safeLossesOf(voter: DirectVoter): number | undefined {
  return voter.machine.status(voter.now)?.safeLosses
}

describe('the losses that the voters can bear', () => {
  it('count a voter that is in contact and holds what is committed', () => {
    const voter = new DirectVoter()
    voter.lead()
    const { lastIndex } = voter.lastAppendTo('b')
    answerHeartbeats(voter, { b: lastIndex, c: lastIndex })
    assert.equal(safeLossesOf(voter), 1)
  })

  it('do not count a voter that answers but lacks what is committed', () => {
    const voter = new DirectVoter()
    voter.lead()
    const { lastIndex } = voter.lastAppendTo('b')
    answerHeartbeats(voter, { b: lastIndex, c: 0 })
    assert.equal(safeLossesOf(voter), 0)
    assert.ok(voter.lines.some((line) => line.includes('disk c-test on c has 0 of 1 entries')))
  })

  it('are logged with the voter that is missing whenever they change', () => {
    const cluster = simulate()
    const leader = awaitLeader(cluster)
    const [missing] = otherVoters(leader)
    cluster.cut(missing, both)
    cluster.run(SETTLE_MS)
    const line = cluster.lines.find((entry) => entry.includes('can bear 0 further losses'))
    assert.match(line ?? '', new RegExp(`disk ${cluster.diskId(missing)} on ${missing} is silent`))
    cluster.cut(missing, { from: false, to: false })
    cluster.run(SETTLE_MS)
    assert.match(cluster.lines.at(-1) ?? '', /can bear 1 further losses; missing: none/)
  })
})

describe('a new disk that takes the place of a lost one', () => {
  it('is logged at each step', () => {
    const cluster = simulate({ spares: ['d'] })
    const [lost] = otherVoters(awaitLeader(cluster))
    const lostDisk = cluster.diskId(lost)
    cluster.wipe(lost)
    cluster.start(lost)
    const diskId = addLearner(cluster, lost)
    cluster.run(10_000)
    const steps = [
      `sending a snapshot up to entry`,
      `ADD_LEARNER of disk ${diskId} on ${lost}`,
      `disk ${diskId} on ${lost} is a learner that has caught up`,
      `REMOVE of disk ${lostDisk} on ${lost}`,
      `PROMOTE of disk ${diskId} on ${lost}`,
      'can bear 1 further losses; missing: none',
    ]
    for (const step of steps)
      assert.ok(
        cluster.lines.some((line) => line.includes(step)),
        step,
      )
  })
})
