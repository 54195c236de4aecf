import assert from 'node:assert/strict'
import { it } from 'node:test'
import { fromBinary } from '@bufbuild/protobuf'
import { ControlSnapshotSchema } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { ControlState } from '../state/ControlState'
import { genesisSnapshot } from '../state/genesis'
import { claimKeys, keyClaim, setPreset } from '../testing/commands'
import { encodeSnapshot } from './encodeSnapshot'

it('a snapshot encoded in slices is decoded unchanged', () => {
  const state = new ControlState(genesisSnapshot('test', ['a']))
  for (let at = 0; at < 450; at++) {
    state.apply(setPreset(`c${at}`, 'peak', at + 1))
    state.apply(claimKeys(`k${at}`, [keyClaim(`k${at}`, `job${at}`)]))
  }
  const snapshot = state.snapshot(900, 3)
  const bytes = Effect.runSync(encodeSnapshot(snapshot))
  assert.deepEqual(fromBinary(ControlSnapshotSchema, bytes), snapshot)
})
