import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VoterChangeKind } from '@cherryhitch/protocol'
import { DiskOperation } from '@cherryhitch/storage'
import type { SimulatedCluster } from '../soak/SimulatedCluster'
import { changeVoters, claimKeys, keyClaim, setPreset } from '../testing/commands'
import { VoterRole } from './ControlAction'
import { defaultVoterTiming } from './VoterOptions'
import {
  addLearner,
  awaitLeader,
  proposeAndWait,
  otherVoters,
  resultOf,
  simulate,
  votersOf,
} from '../testing/simulation'

const both = { from: true, to: true }
const none = { from: false, to: false }

function settingsOf(cluster: SimulatedCluster, instance: string): number | undefined {
  return cluster.client(instance).settings?.version
}

describe('a leader that is partitioned without notice', () => {
  for (const how of [both, { from: true, to: false }, { from: false, to: true }]) {
    it(`steps down and rejoins as a follower (${JSON.stringify(how)})`, () => {
      const cluster = simulate()
      const old = awaitLeader(cluster)
      cluster.cut(old, how)
      const next = awaitLeader(cluster, old)
      assert.equal(resultOf(proposeAndWait(cluster, next, setPreset('new', 'peak', 1))), 'APPLIED')
      cluster.run(3_000)
      assert.notEqual(cluster.voter(old)?.role, VoterRole.Leader)
      cluster.cut(old, none)
      cluster.run(3_000)
      assert.equal(settingsOf(cluster, old), 2)
      assert.equal(awaitLeader(cluster), next, 'its return does not disrupt the new leader')
    })
  }

  it('answers commands it cannot commit as unknown; the log decides their result later', () => {
    const cluster = simulate()
    const old = awaitLeader(cluster)
    cluster.cut(old, both)
    assert.equal(resultOf(proposeAndWait(cluster, old, setPreset('lost', 'peak', 1))), 'UNKNOWN')
    assert.ok((cluster.voter(old)?.lastIndex ?? 0) > (cluster.voter(old)?.commitIndex ?? 0))
    const next = awaitLeader(cluster, old)
    const won = proposeAndWait(cluster, next, setPreset('won', 'maintenance', 1))
    assert.equal(resultOf(won), 'APPLIED')
    cluster.cut(old, none)
    cluster.run(3_000)
    assert.equal(resultOf(proposeAndWait(cluster, old, setPreset('lost', 'peak', 1))), 'CONFLICT')
  })

  it('blocks claims only until the next leader is elected; before, the result is unknown', () => {
    const cluster = simulate()
    const old = awaitLeader(cluster)
    for (const instance of ['a', 'b', 'c']) cluster.crash(instance)
    const command = claimKeys('c1', [keyClaim('k', 'job1')])
    const alone = proposeAndWait(cluster, 'f', command)
    assert.equal(resultOf(alone), 'UNKNOWN', 'a message to a dead instance is not answered')
    for (const instance of ['a', 'b', 'c']) cluster.start(instance)
    awaitLeader(cluster)
    assert.equal(resultOf(proposeAndWait(cluster, 'f', command)), 'APPLIED')
    assert.ok(old)
  })
})

describe('operators', () => {
  it('with equal start versions: the first in the log wins, the other is a conflict', () => {
    const cluster = simulate()
    cluster.propose('a', setPreset('c1', 'peak', 1, 'sato'))
    cluster.propose('b', setPreset('c2', 'maintenance', 1, 'patel'))
    cluster.run(1_000)
    const answers = ['c1', 'c2'].map((id) => cluster.answers.get(id))
    const results = answers.map(resultOf).sort()
    assert.deepEqual(results, ['APPLIED', 'CONFLICT'])
    const loser = answers.find((answer) => resultOf(answer) === 'CONFLICT')
    const winner = loser?.commandId === 'c1' ? 'patel (c2)' : 'sato (c1)'
    assert.ok(loser?.detail.includes(winner), loser?.detail)
    assert.ok(loser?.detail.includes('version 2'))
  })

  const resends: Record<string, (cluster: SimulatedCluster) => string> = {
    'to another instance': () => 'b',
    'after a restart of all voters': (cluster) => {
      for (const instance of ['a', 'b', 'c']) cluster.crash(instance)
      for (const instance of ['a', 'b', 'c']) cluster.start(instance)
      return 'f'
    },
    'after a change of the leader': (cluster) => {
      const old = awaitLeader(cluster)
      cluster.crash(old)
      return awaitLeader(cluster, old)
    },
    'after other changes': (cluster) => {
      for (let version = 2; version < 8; version++) {
        proposeAndWait(cluster, 'a', setPreset(`other ${version}`, 'peak', version))
      }
      return 'c'
    },
  }
  for (const [when, prepare] of Object.entries(resends)) {
    it(`who resend a command ${when} get the first answer`, () => {
      const cluster = simulate()
      const command = setPreset('c1', 'peak', 1)
      const first = proposeAndWait(cluster, 'a', command)
      const conflict = proposeAndWait(cluster, 'a', setPreset('c2', 'maintenance', 1))
      const instance = prepare(cluster)
      assert.deepEqual(proposeAndWait(cluster, instance, command), first)
      assert.deepEqual(
        proposeAndWait(cluster, instance, setPreset('c2', 'maintenance', 1)),
        conflict,
      )
      assert.equal(resultOf(first), 'APPLIED')
      assert.equal(resultOf(conflict), 'CONFLICT')
    })
  }
})

describe('a voter whose disk was wiped', () => {
  it('returns as a learner, replaces its old disk, and makes up for a second loss', () => {
    const cluster = simulate()
    const leader = awaitLeader(cluster)
    const [lost, second] = otherVoters(leader)
    proposeAndWait(cluster, leader, setPreset('before', 'peak', 1))
    cluster.wipe(lost)
    cluster.start(lost)
    const diskId = addLearner(cluster, lost)
    const replaced = [`${second}-soak`, `${leader}-soak`, diskId].sort()
    const repaired = cluster.runUntil(() => {
      return JSON.stringify(votersOf(cluster)) === JSON.stringify(replaced)
    }, 30_000)
    assert.ok(repaired, votersOf(cluster).join(' '))
    // The leader is lost right after the repair: the new disk and the third voter hold all entries.
    cluster.wipe(leader)
    const next = awaitLeader(cluster, leader)
    assert.equal(cluster.voter(next)?.settings?.version, 2)
    assert.equal(
      resultOf(proposeAndWait(cluster, next, setPreset('after', 'maintenance', 2))),
      'APPLIED',
    )
  })

  it('does not count before the membership change is committed', () => {
    const cluster = simulate()
    const leader = awaitLeader(cluster)
    const [lost, second] = otherVoters(leader)
    cluster.wipe(lost)
    cluster.start(lost)
    cluster.cut(second, both)
    const command = changeVoters('add', VoterChangeKind.ADD_LEARNER, lost, cluster.diskId(lost))
    assert.equal(resultOf(proposeAndWait(cluster, leader, command)), 'UNKNOWN')
    assert.equal(cluster.leader(), undefined, 'the leader and an empty disk are no majority')
    cluster.cut(second, none)
    awaitLeader(cluster)
  })

  it('and initialized again does not vote for a log without the newest entries', () => {
    const cluster = simulate()
    const leader = awaitLeader(cluster)
    const [lost, behind] = otherVoters(leader)
    cluster.cut(behind, both)
    assert.equal(resultOf(proposeAndWait(cluster, leader, setPreset('kept', 'peak', 1))), 'APPLIED')
    cluster.wipe(lost)
    cluster.initialize(lost)
    cluster.crash(leader)
    cluster.cut(behind, none)
    cluster.start(lost)
    cluster.run(10_000)
    assert.equal(cluster.leader(), undefined)
    cluster.start(leader)
    assert.equal(awaitLeader(cluster), leader)
    cluster.run(1_000)
    assert.equal(settingsOf(cluster, behind), 2)
  })

  it('can lead after a restart from a snapshot older than its promotion', () => {
    const cluster = simulate()
    const leader = awaitLeader(cluster)
    const [lost, second] = otherVoters(leader)
    cluster.wipe(lost)
    cluster.start(lost)
    addLearner(cluster, lost)
    cluster.run(10_000)
    cluster.crash(lost)
    cluster.start(lost)
    cluster.run(1_000)
    cluster.crash(leader)
    cluster.cut(second, { from: true, to: false })
    cluster.run(5_000)
    cluster.cut(second, none)
    const next = awaitLeader(cluster, leader)
    assert.equal(resultOf(proposeAndWait(cluster, next, setPreset('c', 'peak', 1))), 'APPLIED')
  })

  it('and restored from an older copy with the same id is detected and removed', () => {
    const cluster = simulate()
    const leader = awaitLeader(cluster)
    const [old] = otherVoters(leader)
    const copy = cluster.copyDisk(old)
    proposeAndWait(cluster, leader, setPreset('c1', 'peak', 1))
    cluster.run(1_000)
    cluster.crash(old)
    cluster.replaceDisk(old, copy)
    cluster.start(old)
    const removed = cluster.runUntil(() => !votersOf(cluster).includes(`${old}-soak`), 10_000)
    assert.ok(removed, votersOf(cluster).join(' '))
    assert.ok(cluster.lines.some((line) => line.includes('not counted')))
  })
})

describe('a voter that is partitioned for a long time', () => {
  it('is replaced by a spare disk, and may return as a learner', () => {
    const cluster = simulate({ spares: ['d'] })
    const leader = awaitLeader(cluster)
    addLearner(cluster, 'd')
    const [gone] = otherVoters(leader)
    cluster.cut(gone, both)
    cluster.run(20_000)
    assert.ok(votersOf(cluster).includes(cluster.diskId('d')), votersOf(cluster).join(' '))
    assert.ok(!votersOf(cluster).includes(`${gone}-soak`))
    cluster.cut(gone, none)
    cluster.run(5_000)
    assert.ok(cluster.lines.some((line) => line.includes(`${gone}-soak on ${gone} is no member`)))
    addLearner(cluster, gone)
    cluster.run(5_000)
    assert.ok(votersOf(cluster).includes(`(${gone}-soak)`), 'three voters are enough')
    assert.equal(settingsOf(cluster, gone), 1)
  })
})

describe('a voter that is only silent', () => {
  it('is still counted if another voter is lost while it is being replaced', () => {
    const cluster = simulate({ spares: ['d'], syncMs: 60 })
    const leader = awaitLeader(cluster)
    addLearner(cluster, 'd')
    cluster.run(2_000)
    const [silent, lost] = otherVoters(leader)
    cluster.cut(silent, both)
    const voter = cluster.voter(leader)
    const proposed = cluster.runUntil(() => voter?.lastIndex !== voter?.commitIndex, 15_000)
    assert.ok(proposed, 'the leader proposes a change on its own')
    cluster.wipe(lost)
    cluster.run(10_000)
    cluster.cut(silent, none)
    const next = awaitLeader(cluster)
    assert.equal(resultOf(proposeAndWait(cluster, next, setPreset('c', 'peak', 1))), 'APPLIED')
  })
})

describe('membership changes', () => {
  it('are refused if no majority would remain, or if the disk to promote has not caught up', () => {
    const cluster = simulate()
    const leader = awaitLeader(cluster)
    const [dead, alive] = otherVoters(leader)
    cluster.crash(dead)
    cluster.run(5_000)
    const remove = changeVoters('r', VoterChangeKind.REMOVE, alive, `${alive}-soak`)
    assert.equal(resultOf(proposeAndWait(cluster, leader, remove)), 'UNAVAILABLE')
    const promote = changeVoters('p', VoterChangeKind.PROMOTE, 'x', 'unknown')
    assert.equal(resultOf(proposeAndWait(cluster, leader, promote)), 'UNAVAILABLE')
    assert.deepEqual(votersOf(cluster), ['a-soak', 'b-soak', 'c-soak'])
  })
})

/** Waits until a write of the instance has failed; then all others fail too, also in an opening. */
function awaitFailedDisk(cluster: SimulatedCluster, instance: string): void {
  cluster.runUntil(() => cluster.voter(instance)?.isHealthy === false, 10_000)
  assert.equal(cluster.voter(instance)?.isHealthy, false)
  cluster.disk(instance).haltAfter(0)
}

/** How a voter whose disk has failed takes part again. */
const recoveries: Record<string, (cluster: SimulatedCluster, instance: string) => void> = {
  'it restarts': (cluster, instance) => {
    cluster.crash(instance)
    cluster.start(instance)
  },
  'its disk recovers': (cluster, instance) => {
    cluster.disk(instance).clearFaults()
  },
}

describe('a voter whose disk fails', () => {
  // Without a hand-over callers waited for the election timeout too.
  it('hands its leadership over at once', () => {
    const cluster = simulate()
    const failing = awaitLeader(cluster)
    cluster.disk(failing).capacityBytes = 0
    cluster.propose(failing, setPreset('c1', 'peak', 1))
    cluster.runUntil(() => cluster.voter(failing)?.isHealthy === false, 1_000)
    const failedAt = cluster.now
    awaitLeader(cluster, failing)
    assert.ok(cluster.now - failedAt < defaultVoterTiming.electionMinMs)
  })

  for (const [when, recover] of Object.entries(recoveries)) {
    for (const operation of [DiskOperation.Sync, DiskOperation.Append]) {
      it(`acknowledges nothing more until ${when} (${operation})`, () => {
        const cluster = simulate()
        const failing = awaitLeader(cluster)
        cluster.disk(failing).fail({ operation })
        cluster.propose(failing, setPreset('c1', 'peak', 1))
        awaitFailedDisk(cluster, failing)
        const next = awaitLeader(cluster, failing)
        assert.equal(cluster.voter(failing)?.isHealthy, false)
        assert.equal(resultOf(proposeAndWait(cluster, next, setPreset('c1', 'peak', 1))), 'APPLIED')
        const [third] = otherVoters(failing).filter((instance) => instance !== next)
        cluster.crash(third ?? '')
        cluster.run(5_000)
        assert.equal(cluster.leader(), undefined, 'a failed disk does not make a majority')
        recover(cluster, failing)
        awaitLeader(cluster)
      })
    }

    for (const [what, operation] of Object.entries({
      'the rename of its vote': DiskOperation.Rename,
      'the sync of the folder': DiskOperation.SyncFolder,
    })) {
      it(`at ${what} gives no vote, and can lead after ${when}`, () => {
        const cluster = simulate()
        const leader = awaitLeader(cluster)
        const [failing, third] = otherVoters(leader)
        cluster.disk(failing).fail({ operation })
        cluster.crash(leader)
        awaitFailedDisk(cluster, failing)
        cluster.run(8_000)
        assert.equal(cluster.voter(failing)?.isHealthy, false)
        assert.equal(cluster.leader(), undefined)
        recover(cluster, failing)
        assert.ok([failing, third].includes(awaitLeader(cluster)))
      })
    }

    it(`while it truncates uncommitted entries recovers after ${when}`, () => {
      const cluster = simulate()
      const old = awaitLeader(cluster)
      cluster.cut(old, both)
      proposeAndWait(cluster, old, setPreset('lost', 'peak', 1))
      const next = awaitLeader(cluster, old)
      proposeAndWait(cluster, next, setPreset('won', 'maintenance', 1))
      // The truncation replaces a log file: its rename is the second one, after that of the vote.
      cluster.disk(old).fail({ operation: DiskOperation.Rename, nth: 2 })
      cluster.cut(old, none)
      awaitFailedDisk(cluster, old)
      recover(cluster, old)
      cluster.run(3_000)
      assert.equal(cluster.voter(old)?.settings?.preset, 'maintenance')
    })
  }
})

describe('messages', () => {
  for (const [what, link] of Object.entries({
    'delayed and reordered': { maxDelayMs: 150, loss: 0, duplication: 0 },
    duplicated: { maxDelayMs: 40, loss: 0, duplication: 0.9 },
    lost: { maxDelayMs: 20, loss: 0.3, duplication: 0 },
  })) {
    it(`${what}: every command is decided once`, () => {
      const cluster = simulate()
      cluster.link = link
      let version = 1
      for (let change = 0; change < 15; change++) {
        const command = setPreset(`c${change}`, 'peak', version)
        const answers = [
          proposeAndWait(cluster, 'f', command),
          proposeAndWait(cluster, 'a', command),
        ]
        // With a third of the messages lost, either proposal may stay without an answer.
        const decided = answers.filter((answer) => resultOf(answer) !== 'UNKNOWN')
        for (const answer of decided) assert.equal(resultOf(answer), 'APPLIED')
        if (decided.length > 0) version++
        for (const answer of decided) assert.equal(answer.version, version)
      }
      assert.ok(version > 10, `only ${version - 1} changes were made`)
    })
  }

  it('cut off at any time: a command reported as not accepted is never committed', () => {
    const cluster = simulate()
    const told: string[] = []
    for (let at = 0; at < 120; at++) {
      const instance = cluster.random.pick(['a', 'b', 'c', 'f'])
      const how = cluster.random.pick([both, { from: true, to: false }, { from: false, to: true }])
      cluster.cut(instance, cluster.random.chance(0.5) ? how : none)
      cluster.propose('f', claimKeys(`c${at}`, [keyClaim(`k${at}`, `job${at}`)]), 3_000)
      cluster.run(cluster.random.between(10, 1_800))
    }
    for (const instance of ['a', 'b', 'c', 'f']) cluster.cut(instance, none)
    cluster.run(20_000)
    for (const [commandId, answer] of cluster.answers) {
      if (resultOf(answer) === 'UNAVAILABLE') told.push(commandId)
    }
    assert.ok(told.length > 10, `${told.length} were reported as not accepted`)
    const committed = told.filter((commandId) => cluster.checks.isCommitted(commandId))
    assert.deepEqual(committed, [])
  })
})
