import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AuditKind } from '@cherryhitch/protocol'
import { verifyAudit } from '../state/auditChain'
import { PresetName } from '../state/presets'
import type { SimulatedCluster } from '../soak/SimulatedCluster'
import { setPreset } from '../testing/commands'
import { awaitLeader, proposeAndWait, resultOf, simulate } from '../testing/simulation'

const presets = Object.values(PresetName)

/** Kills the voters at a random time during a change, which may or may not be committed. */
function killDuring(cluster: SimulatedCluster, voters: readonly string[]): void {
  cluster.run(cluster.random.between(0, 40))
  for (const voter of voters) cluster.crash(voter)
  cluster.run(50)
  for (const voter of voters) cluster.start(voter)
  awaitLeader(cluster)
}

describe('recovery', () => {
  for (const voters of [['a'], ['a', 'b', 'c']]) {
    it(`restores all of 500 changes with ${voters.length} voter(s) killed at random`, () => {
      const limits = { snapshotEvery: 60, entriesKept: 10 }
      const cluster = simulate({ voters, seed: 11, limits })
      let kills = 0
      for (let version = 1; version <= 500; version++) {
        const preset = presets[version % presets.length] ?? ''
        const command = setPreset(`c${version}`, preset, version)
        cluster.propose('f', command)
        if (cluster.random.chance(0.15)) {
          kills++
          killDuring(cluster, voters)
        }
        assert.equal(resultOf(proposeAndWait(cluster, 'f', command)), 'APPLIED')
      }
      for (const voter of voters) cluster.crash(voter)
      for (const voter of voters) cluster.start(voter)
      awaitLeader(cluster)
      const read = cluster.read('f', 20_000)
      assert.ok(read)
      const { settings, audit } = read
      assert.ok(kills > 40, `${kills} kills`)
      assert.equal(settings?.version, 501)
      assert.equal(settings.preset, presets[500 % presets.length])
      assert.ok(verifyAudit(audit, settings).ok)
      const changes = audit.filter(({ kind }) => kind === AuditKind.PRESET_SET)
      assert.deepEqual(
        changes.map(({ commandId }) => commandId),
        Array.from({ length: 500 }, (_, index) => `c${index + 1}`),
      )
    })
  }
})
