import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StorageErrorKind } from '../errors/StorageError'
import {
  newestVersion,
  packNewest,
  packVersioned,
  runMigrations,
  unpackNewest,
  unpackVersioned,
} from './runMigrations'
import type { Migration } from './runMigrations'

function adding(from: number, letter: string): Migration {
  const migrate = (content: Uint8Array) => Buffer.concat([content, Buffer.from(letter)])
  return { from, description: `adds ${letter}`, migrate }
}

const migrations = [adding(2, 'c'), adding(1, 'b'), adding(3, 'd')]

describe('migrations', () => {
  for (const [version, expected] of [
    [1, 'abcd'],
    [2, 'acd'],
    [4, 'a'],
  ] as const) {
    it(`migrate a record of version ${version} to the newest version`, () => {
      const stored = packVersioned({ version, content: Buffer.from('a') })
      const read = unpackVersioned(stored, 'record 7').unwrap()
      const content = runMigrations(read, migrations, 'record 7').unwrap()
      assert.equal(Buffer.from(content).toString(), expected)
    })
  }

  it('leave a record of the newest version unchanged, and migrate an older one', () => {
    const newest = packNewest(Buffer.from('a'), migrations)
    const older = packVersioned({ version: 1, content: Buffer.from('a') })
    const read = (bytes: Uint8Array): string => {
      return Buffer.from(unpackNewest(bytes, migrations, 'record 7').unwrap()).toString()
    }
    assert.equal(read(newest), 'a')
    assert.equal(read(older), 'abcd')
    const cut = unpackNewest(new Uint8Array(1), migrations, 'record 7')
    assert.match(cut.err ? cut.val.message : '', /record 7.*no version/)
  })

  const refusals = [
    { version: 5, list: migrations, kind: StorageErrorKind.TooNew, message: /knows up to 4/ },
    { version: 0, list: migrations, kind: StorageErrorKind.Damaged, message: /reads version 0/ },
    { version: 1, list: [adding(2, 'c')], kind: StorageErrorKind.Damaged, message: /version 1/ },
    { version: 2, list: [], kind: StorageErrorKind.TooNew, message: /knows up to 1/ },
  ]
  for (const { version, list, kind, message } of refusals) {
    it(`reject version ${version} where the newest is ${newestVersion(list)}`, () => {
      const result = runMigrations({ version, content: Buffer.from('a') }, list, 'record 7')
      assert.ok(result.err)
      assert.equal(result.val.kind, kind)
      assert.match(result.val.message, message)
    })
  }

  it('reject a record that is too short to hold a version', () => {
    const result = unpackVersioned(Buffer.from('a'), 'record 7')
    assert.ok(result.err)
    assert.equal(result.val.kind, StorageErrorKind.Damaged)
  })
})
