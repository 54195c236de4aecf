import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { ExitCode } from '../../ExitCode'
import { chainRows, changeStory } from '../../fixtures/auditRows'
import { FakeInstance } from '../../fixtures/FakeInstance'
import { runWith } from '../../fixtures/runWith'
import type { AuditRow } from '../../http/operatorViews'

function serveRows(t: TestContext, rows: readonly AuditRow[]): Promise<FakeInstance> {
  return FakeInstance.start(t, (req) => {
    const query = new URL(req.path, 'http://a').searchParams
    const from = Number(query.get('from'))
    const limit = Math.min(1000, Number(query.get('limit')))
    return { status: 200, body: { current: true, records: rows.slice(from, from + limit) } }
  })
}

function writeExport(t: TestContext, rows: readonly AuditRow[]): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'audit-'))
  t.after(() => {
    fs.rmSync(folder, { recursive: true })
  })
  const file = path.join(folder, 'audit.jsonl')
  fs.writeFileSync(file, rows.map((row) => `${JSON.stringify(row)}\n`).join(''))
  return file
}

const longStory = chainRows(
  Array.from({ length: 1203 }, (_, version) => ({ kind: 'preset_defined', version })),
)

describe('audit list, show and export', () => {
  it('shows a table in which the first record has no time', async (t) => {
    const fake = await serveRows(t, changeStory)
    const { out } = await runWith(['audit', 'list', '--url', fake.url])
    assert.match(out, /^POS {2}AT {24}KIND {9}VERSION {2}FROM {6}TO/)
    assert.match(out, /^0 {4}first start .* initialized/m)
    assert.match(out, /^3 {4}2026-12-02T\S+ {2}preset_set .* ordinary {2}peak .* mori .* 2026$/m)
  })

  it('reads a record of many pages whole', async (t) => {
    const fake = await serveRows(t, longStory)
    const json = await runWith(['audit', 'list', '--json', '--url', fake.url])
    assert.deepEqual(JSON.parse(json.out), longStory)
    const exported = await runWith(['audit', 'export', '--url', fake.url])
    assert.equal(exported.out.split('\n').length, longStory.length)
    const verified = await runWith(['audit', 'verify', '--url', fake.url])
    assert.match(verified.out, /^1203 records, chain unbroken, last hash [0-9a-f]{64}$/)
  })

  const parts: readonly (readonly [string, readonly string[], readonly number[]])[] = [
    ['from a position', ['--from', '4'], [4, 5]],
    ['some at most', ['--limit', '2'], [0, 1]],
    ['some at most from a position', ['--from', '1', '--limit', '2'], [1, 2]],
    ['beyond the end', ['--from', '9'], []],
    ['the newest', ['--last', '2'], [4, 5]],
    ['no more than there are', ['--last', '99'], [0, 1, 2, 3, 4, 5]],
    ['none of the newest', ['--last', '0'], []],
    ['changes alone', ['--changes'], [0, 3]],
    ['the newest change', ['--last', '1', '--changes'], [3]],
  ]
  for (const [what, flags, positions] of parts) {
    it(`lists ${what}, live and from a file`, async (t) => {
      const fake = await serveRows(t, changeStory)
      const sources = [
        ['--url', fake.url],
        ['--file', writeExport(t, changeStory)],
      ]
      for (const source of sources) {
        const { out } = await runWith(['audit', 'list', '--json', ...flags, ...source])
        const rows = JSON.parse(out) as readonly AuditRow[]
        assert.deepEqual(
          rows.map(({ position }) => position),
          positions,
        )
      }
    })
  }

  it('finds the newest end of a long record without reading it whole', async (t) => {
    const fake = await serveRows(t, longStory)
    const { out } = await runWith(['audit', 'list', '--json', '--last', '3', '--url', fake.url])
    assert.deepEqual(JSON.parse(out), longStory.slice(-3))
    const sizes = fake.seen.map((req) =>
      Number(new URL(req.path, 'http://a').searchParams.get('limit')),
    )
    assert.deepEqual(
      sizes.filter((size) => size > 1),
      [500],
    )
    assert.ok(sizes.length < 30, `${sizes.length} requests`)
  })

  it('shows one record with one small request', async (t) => {
    const fake = await serveRows(t, longStory)
    const { out } = await runWith(['audit', 'show', '1100', '--url', fake.url])
    assert.deepEqual(JSON.parse(out), longStory[1100])
    assert.deepEqual(
      fake.seen.map((req) => req.path),
      ['/v1/audit?from=1100&limit=1'],
    )
    const none = await runWith(['audit', 'show', '1203', '--url', fake.url])
    assert.equal(none.exitCode, ExitCode.Usage)
  })

  it('gives no part of a record that is not confirmed', async (t) => {
    const body = { current: false, records: [] }
    const fake = await FakeInstance.start(t, () => ({ status: 200, body }))
    for (const action of ['list', 'export', 'verify', 'in-force']) {
      const run = await runWith(['audit', action, '--url', fake.url])
      assert.equal(run.exitCode, ExitCode.Unreachable)
      assert.equal(run.out, '')
      assert.match(run.err, /quorum/)
    }
  })
})

describe('audit verify', () => {
  const alterations: readonly (readonly [string, (rows: AuditRow[]) => unknown, RegExp])[] = [
    ['a reason', (rows) => Object.assign(rows[3] ?? {}, { reason: 'other' }), /Record 3: .*hash/],
    ['an operator', (rows) => Object.assign(rows[3] ?? {}, { operator: 'x' }), /Record 3: /],
    ['a time', (rows) => Object.assign(rows[4] ?? {}, { atMs: 1 }), /Record 4: /],
    ['a record left out', (rows) => rows.splice(2, 1), /Record 3: the position/],
    ['two records swapped', (rows) => rows.splice(1, 2, ...rows.slice(1, 3).reverse()), /Record 2/],
    [
      'a record of another chain',
      (rows) => rows.splice(5, 1, ...longStory.slice(5, 6)),
      /Record 5/,
    ],
  ]
  for (const [what, alter, says] of alterations) {
    it(`notices ${what}`, async (t) => {
      const rows = changeStory.map((row) => ({ ...row }))
      alter(rows)
      const run = await runWith(['audit', 'verify', '--file', writeExport(t, rows)])
      assert.equal(run.exitCode, ExitCode.Failed)
      assert.match(run.err, says)
      assert.match(run.err, /altered or cut/)
      const inForce = await runWith(['audit', 'in-force', '--file', writeExport(t, rows)])
      assert.equal(inForce.exitCode, ExitCode.Failed, 'an altered record answers no question')
    })
  }

  it('notices a chain that was made anew, by an earlier export', async (t) => {
    const earlier = writeExport(t, changeStory.slice(0, 4))
    const same = await serveRows(t, changeStory)
    const verify = ['audit', 'verify', '--against', earlier, '--url']
    const good = await runWith([...verify, same.url])
    assert.match(good.out, /\nthe 4 records of .* are unchanged$/)
    const forged = await serveRows(t, chainRows(changeStory.map((row) => ({ ...row, boot: 7 }))))
    assert.equal((await runWith(['audit', 'verify', '--url', forged.url])).exitCode, ExitCode.Ok)
    const bad = await runWith([...verify, forged.url])
    assert.equal(bad.exitCode, ExitCode.Failed)
    assert.match(bad.err, /Record 0 differs/)
    const cut = await serveRows(t, changeStory.slice(0, 3))
    assert.match((await runWith([...verify, cut.url])).err, /Record 3 differs/)
  })

  it('names the line of a file that is no record', async (t) => {
    const file = writeExport(t, changeStory)
    fs.appendFileSync(file, '{"position":\n')
    const run = await runWith(['audit', 'verify', '--file', file])
    assert.equal(run.exitCode, ExitCode.Usage)
    assert.match(run.err, /audit\.jsonl:7: this is no audit record/)
  })
})

describe('audit in-force', () => {
  const questions: readonly (readonly [string, readonly string[], RegExp])[] = [
    ['now', [], /peak, version 2, in force in the whole system since 2026-12-02T10:00:05/],
    ['at an instance', ['--instance', 'a1'], /peak, version 2, in force at a1 since \S+10:00:04/],
    ['before the change', ['--at', '2026-12-02T10:00:03.5Z'], /ordinary, version 1, .*10:00:02/],
    ['by another offset', ['--at', '2026-12-02T19:00:03.5+09:00'], /ordinary, version 1/],
  ]
  for (const [what, flags, says] of questions) {
    it(`says what was in force ${what}`, async (t) => {
      const fake = await serveRows(t, changeStory)
      const io = { now: () => Date.parse('2026-12-02T10:01:00Z') }
      const run = await runWith(['audit', 'in-force', ...flags, '--url', fake.url], io)
      assert.equal(run.exitCode, ExitCode.Ok, run.err)
      assert.match(run.out, says)
    })
  }

  it('says that an instance was cut off', async (t) => {
    const rows = chainRows(changeStory.filter(({ position }) => position !== 4))
    const file = writeExport(t, rows)
    const at = ['--at', '2026-12-02T11:00:00Z', '--instance', 'a1', '--file', file]
    const run = await runWith(['audit', 'in-force', ...at])
    assert.match(run.out, /ordinary, version 1, in force at a1 .*\n.*cut off/)
    const json = await runWith(['audit', 'in-force', '--json', ...at])
    assert.equal((JSON.parse(json.out) as { confirmed: boolean }).confirmed, false)
  })

  it('does not guess', async (t) => {
    const file = writeExport(t, changeStory)
    for (const flags of [
      ['--instance', 'b1'],
      ['--at', '2026-12-01T00:00:00Z'],
    ]) {
      const run = await runWith(['audit', 'in-force', '--file', file, ...flags])
      assert.equal(run.exitCode, ExitCode.Failed)
      assert.match(run.err, /does not say/)
    }
    const vague = await runWith(['audit', 'in-force', '--file', file, '--at', '2026-12-02T10:00'])
    assert.equal(vague.exitCode, ExitCode.Usage)
  })
})
