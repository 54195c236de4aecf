import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { CallOutcome, configurationOf, OperatorCluster } from './fixtures/OperatorCluster'

const BOOT = 1_000

let cluster = new OperatorCluster()

beforeEach(async () => {
  cluster = new OperatorCluster()
  await cluster.startAll()
})

afterEach(async () => {
  await cluster.stopAll()
})

describe('a configuration sent to a process that was started again', () => {
  // The clock had been set back, so both processes had the same boot and command ids.
  it('is in force once it is acknowledged, also if its clock reads as that of the first', async () => {
    await cluster.stop('a')
    await cluster.start('a', BOOT)
    const first = await cluster.put('a', configurationOf(1, 'first'))
    assert.equal(first.outcome, CallOutcome.Acknowledged)
    await cluster.stop('a')
    await cluster.start('a', BOOT)
    const second = await cluster.put('a', configurationOf(2, 'second'))
    assert.equal(second.outcome, CallOutcome.Acknowledged)
    for (const name of cluster.names) {
      assert.equal((await cluster.read(name)).body, configurationOf(2, 'second'), name)
    }
  })
})
