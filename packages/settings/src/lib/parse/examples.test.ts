import assert from 'node:assert/strict'
import fs from 'node:fs'
import path from 'node:path'
import { describe, it } from 'node:test'
import { formatSettingsProblem } from '../problems/SettingsProblem'
import type { Settings } from '../schema/Settings'
import { loadSettings } from './loadSettings'

const root = path.resolve(import.meta.dirname, '../../../../../examples')

function load(file: string): Settings {
  const result = loadSettings(file)
  if (result.err) throw new Error(result.val.map(formatSettingsProblem).join('\n'))
  return result.val
}

function loadAll(set: string): readonly Settings[] {
  const folder = path.join(root, set)
  const files = fs.readdirSync(folder).filter((file) => file.endsWith('.jsonc'))
  return files.map((file) => load(path.join(folder, file)))
}

/** The entry that the other instances should list for this one in their `peers`. */
function asPeer({ instance, zone, interfaces, voter }: Settings) {
  return { instance, zone, ...interfaces.instances, voter }
}

const sets = [
  { name: 'kitaura', zones: ['ishikari-1', 'ishikari-2', 'ishikari-3'] },
  { name: 'sabarmati', zones: ['gujarat-1', 'gujarat-2', 'gujarat-3', 'gujarat-4'] },
]

describe('the example settings', () => {
  for (const { name, zones } of sets) {
    it(`of ${name} describe seven instances that agree with one another`, () => {
      const all = loadAll(name)
      assert.equal(all.length, 7)
      const members = all.map(asPeer)
      for (const settings of all) {
        const others = members.filter(({ instance }) => instance !== settings.instance)
        assert.deepEqual(settings.peers, others)
      }
      assert.deepEqual([...new Set(members.map(({ zone }) => zone))].sort(), zones)
      const voters = members.filter(({ voter }) => voter)
      assert.equal(new Set(voters.map(({ zone }) => zone)).size, 3)
      assert.equal(voters.length, 3)
    })
  }

  it('use each port and data folder only once', () => {
    const all = sets.flatMap(({ name }) => loadAll(name))
    const ports = all.flatMap(({ interfaces }) => Object.values(interfaces).map(({ port }) => port))
    assert.equal(new Set(ports).size, all.length * 4)
    const folders = all.flatMap(({ dataFolder }) => dataFolder ?? [])
    assert.equal(new Set(folders).size, 6)
  })

  it('are named after their instances', () => {
    for (const { name } of sets) {
      for (const { instance } of loadAll(name)) {
        assert.ok(fs.existsSync(path.join(root, name, `${instance}.jsonc`)), instance)
      }
    }
  })
})
