import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import {
  AuditKind,
  CommandResult,
  CommandSchema,
  ControlSnapshotSchema,
} from '@cherryhitch/protocol'
import { setPreset, setZoneDrain } from '../testing/commands'
import { verifyAudit } from './auditChain'
import { ControlState } from './ControlState'
import { genesisSnapshot } from './genesis'
import { PresetName } from './presets'
import { drainedZonesOf, MAX_ZONES } from './zoneDrains'

const AUDIT_LIMIT = 1_000

/** A state to which orders of operators are applied. */
class Orders {
  state = new ControlState(genesisSnapshot('test', ['a', 'b', 'c']))
  #commands = 0

  get version(): number {
    return this.state.settings.version
  }

  get drained(): string[] {
    return [...drainedZonesOf(this.state.settings.zoneDrains)]
  }

  /** @param fromVersion - version that the operator's instance knew; the newest by default */
  give(zone: string, drained: boolean, fromVersion = this.version): CommandResult {
    const commandId = `c${++this.#commands}`
    return this.state.apply(setZoneDrain(commandId, zone, drained, fromVersion)).result
  }

  restoreFromSnapshot(): void {
    const bytes = toBinary(ControlSnapshotSchema, this.state.snapshot(1, 1))
    this.state = new ControlState(fromBinary(ControlSnapshotSchema, bytes))
  }
}

describe('the drain of a zone', () => {
  it('is in the settings until the zone is restored, with an audit record for each change', () => {
    const orders = new Orders()
    assert.equal(orders.give('z1', true), CommandResult.APPLIED)
    assert.equal(orders.give('z2', true), CommandResult.APPLIED)
    assert.deepEqual(orders.drained, ['z1', 'z2'])
    assert.equal(orders.give('z1', false), CommandResult.APPLIED)
    assert.deepEqual(orders.drained, ['z2'])
    const records = orders.state.audit(0, AUDIT_LIMIT)
    const changes = records.slice(1).map(({ kind, to, operator }) => [kind, to, operator])
    assert.deepEqual(changes, [
      [AuditKind.ZONE_DRAINED, 'z1', 'sato'],
      [AuditKind.ZONE_DRAINED, 'z2', 'sato'],
      [AuditKind.ZONE_RESTORED, 'z1', 'sato'],
    ])
    assert.ok(verifyAudit(records, orders.state.settings).ok)
  })

  it('is acknowledged again without a new version when the order is repeated', () => {
    const orders = new Orders()
    orders.give('z1', true)
    const { version } = orders
    assert.equal(orders.give('z1', true), CommandResult.APPLIED)
    assert.equal(orders.give('z2', false), CommandResult.APPLIED)
    assert.equal(orders.version, version)
    assert.deepEqual(orders.drained, ['z1'])
  })

  it('is not undone by a copy of an order that was given before it', () => {
    const orders = new Orders()
    const firstVersion = orders.version
    orders.give('z1', true)
    orders.give('z1', false)
    assert.equal(orders.give('z1', true, firstVersion), CommandResult.CONFLICT)
    assert.deepEqual(orders.drained, [])
    const knownVersion = orders.version
    orders.give('z1', true)
    assert.equal(orders.give('z1', false, knownVersion), CommandResult.CONFLICT)
    assert.deepEqual(orders.drained, ['z1'])
  })

  it('does not conflict with changes of other zones and of presets', () => {
    const orders = new Orders()
    const firstVersion = orders.version
    orders.give('z1', true)
    orders.state.apply(setPreset('p', PresetName.Peak, orders.version))
    assert.equal(orders.give('z2', true, firstVersion), CommandResult.APPLIED)
    assert.deepEqual(orders.drained, ['z1', 'z2'])
  })

  it('is kept by a snapshot, and by later changes of presets', () => {
    const orders = new Orders()
    orders.give('z1', true)
    orders.restoreFromSnapshot()
    orders.state.apply(setPreset('p', PresetName.Peak, orders.version))
    assert.deepEqual(orders.drained, ['z1'])
    assert.equal(orders.state.settings.preset, PresetName.Peak)
  })

  it('is refused for a text that names no zone, and beyond the limit of zones', () => {
    const orders = new Orders()
    for (const zone of ['', 'a b', '../a', 'x'.repeat(65)]) {
      assert.equal(orders.give(zone, true), CommandResult.REJECTED)
    }
    for (let i = 0; i < MAX_ZONES; i++) {
      assert.equal(orders.give(`z${i}`, true), CommandResult.APPLIED)
    }
    assert.equal(orders.give('one-more', true), CommandResult.REJECTED)
    assert.equal(orders.give('z1', false), CommandResult.APPLIED)
  })
})

describe('a command of a later build', () => {
  it('stops a voter instead of being skipped', () => {
    const { state } = new Orders()
    const unknown = create(CommandSchema, { commandId: 'later' })
    assert.throws(() => state.apply(unknown), /does not know/)
  })
})
