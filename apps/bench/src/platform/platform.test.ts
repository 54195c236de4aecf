import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { after, describe, it } from 'node:test'
import { SeededRandom } from '@cherryhitch/stand-ins'
import { Effect, Exit } from 'effect'
import { Handling } from './CallerTraffic'
import type { CallerRequest } from './CallerTraffic'
import { RunRecord } from './RunRecord'
import type { SentConfig } from './SentConfig'
import { ShadowDisk } from './ShadowDisk'
import {
  CORE,
  checkForbidden,
  checkOldReads,
  checkReadContent,
  checkRegress,
  checkStaleRequests,
} from './checkConfig'
import { soundDisk } from './diskState'
import { losePower } from './losePower'

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-shadow-'))
let lastFolder = 0

after(() => {
  fs.rmSync(folder, { recursive: true })
})

function makeFolder(): string {
  const made = path.join(folder, String(++lastFolder))
  fs.mkdirSync(made)
  return made
}

const run = Effect.runPromise

describe('a disk with a shadow', () => {
  it('keeps what was synced through each loss of power, and never more than was written', async () => {
    for (let seed = 0; seed < 50; seed++) {
      const own = makeFolder()
      const disk = new ShadowDisk(own)
      await run(disk.writeNew('a', Buffer.from('one')))
      await run(disk.sync('a'))
      await run(disk.append('a', Buffer.from(' two')))
      losePower(own, new SeededRandom(seed))
      const text = fs.readFileSync(path.join(own, 'a')).toString()
      assert.ok('one two'.startsWith(text) && text.startsWith('one'), text)
    }
  })

  it('may lose a rename until the folder is synced, and not after it', async () => {
    const found = new Set<string>()
    for (let seed = 0; seed < 50; seed++) {
      const own = makeFolder()
      const disk = new ShadowDisk(own)
      for (const [name, text] of [
        ['a', 'old'],
        ['b', 'new'],
      ] as const) {
        await run(disk.writeNew(name, Buffer.from(text)))
        await run(disk.sync(name))
      }
      await run(disk.rename('b', 'a'))
      if (seed % 2 === 0) await run(disk.syncFolder())
      losePower(own, new SeededRandom(seed))
      const text = fs.readFileSync(path.join(own, 'a')).toString()
      if (seed % 2 === 0) assert.equal(text, 'new')
      found.add(text)
    }
    assert.deepEqual([...found].sort(), ['new', 'old'])
  })

  it('does not take what a killed process left unsynced for synced', async () => {
    const own = makeFolder()
    const disk = new ShadowDisk(own)
    await run(disk.writeNew('a', Buffer.from('one')))
    await run(disk.sync('a'))
    await run(disk.append('a', Buffer.from(' two')))
    const restarted = new ShadowDisk(own)
    assert.equal(String(await run(restarted.read('a'))), 'one two')
    assert.equal(fs.readFileSync(path.join(`${own}.synced`, 'a')).toString(), 'one')
    await run(restarted.sync('a'))
    assert.equal(fs.readFileSync(path.join(`${own}.synced`, 'a')).toString(), 'one two')
  })

  it('fails writes while full, and takes them again', async () => {
    const disk = new ShadowDisk(makeFolder())
    disk.state = { ...soundDisk, isFull: true }
    const exit = await Effect.runPromiseExit(disk.writeNew('a', Buffer.from('one')))
    assert.ok(Exit.isFailure(exit))
    disk.state = soundDisk
    await run(disk.writeNew('a', Buffer.from('one')))
  })
})

function sentConfig(version: number, ackedAtMs: number, service?: string): SentConfig {
  const routes = new Map(service === undefined ? [] : [['/r/', service]])
  return { version, body: JSON.stringify({ version }), routes, sentAtMs: ackedAtMs - 10, ackedAtMs }
}

function request(sentAtMs: number, handling: Handling, service?: string): CallerRequest {
  const times = { sentAtMs, endedAtMs: sentAtMs + 50, status: 200 }
  return { entry: 'entry-11', incarnation: 1, prefix: '/r/', ...times, handling, service }
}

function seen(...configs: readonly SentConfig[]) {
  const sent = new Map(configs.map((config) => [config.version, config]))
  return { sent, forbidden: [], record: new RunRecord() }
}

describe('checks of the rule CONFIG', () => {
  const configs = [sentConfig(1, 1_000, 'a'), sentConfig(2, 10_000, 'b'), sentConfig(3, 20_000)]

  it('find a request that only an older version allows, from the bound on', () => {
    const all = seen(...configs)
    const late = request(12_001, Handling.Run, 'a')
    assert.equal(checkStaleRequests([late], all).violations.length, 1)
    assert.equal(checkStaleRequests([request(11_999, Handling.Run, 'a')], all).violations.length, 0)
    assert.equal(checkStaleRequests([request(12_001, Handling.Run, 'b')], all).violations.length, 0)
    assert.equal(checkStaleRequests([request(22_001, Handling.Run, 'b')], all).violations.length, 1)
    assert.equal(checkStaleRequests([request(12_001, Handling.NoRoute)], all).violations.length, 1)
    assert.equal(checkStaleRequests([request(22_001, Handling.NoRoute)], all).violations.length, 0)
  })

  it('only note it for a machine that was not in touch', () => {
    const all = seen(...configs)
    all.record.disturbFor(CORE, 11_000, 11_500)
    const found = checkStaleRequests([request(12_001, Handling.Run, 'a')], all)
    assert.deepEqual([found.violations.length, found.notes.length], [0, 1])
  })

  it('find a process that goes back behind an effect that was seen', () => {
    const back = [request(10_100, Handling.Run, 'b'), request(10_500, Handling.Run, 'a')]
    assert.equal(checkRegress(back, seen(...configs)).length, 1)
    const soon = [request(10_100, Handling.Run, 'b'), request(10_300, Handling.Run, 'a')]
    assert.equal(checkRegress(soon, seen(...configs)).length, 0)
  })

  it('find reads that are older than what was acknowledged, or other than what was sent', () => {
    const read = { node: 'dispatch-1', sentAtMs: 12_001, version: 1, body: '{"version":1}' }
    assert.equal(checkOldReads([read], seen(...configs)).length, 1)
    assert.equal(checkOldReads([{ ...read, sentAtMs: 11_999 }], seen(...configs)).length, 0)
    assert.equal(checkReadContent([read], seen(...configs)).length, 0)
    assert.equal(checkReadContent([{ ...read, body: '{"version":2}' }], seen(...configs)).length, 1)
    assert.equal(checkReadContent([{ ...read, version: 7 }], seen(...configs)).length, 1)
  })

  it('find an effect of what is invalid', () => {
    const forbidden = [{ version: 4, prefix: '/r/', body: '' }]
    const found = checkForbidden([request(1, Handling.Known)], { ...seen(), forbidden })
    assert.equal(found.length, 1)
  })
})
