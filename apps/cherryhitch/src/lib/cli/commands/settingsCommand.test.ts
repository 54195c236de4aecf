import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { describe, it } from 'node:test'
import { ExitCode } from '../ExitCode'
import { runWith } from '../fixtures/runWith'

const example = path.resolve(
  import.meta.dirname,
  '../../../../../../examples/kitaura/ishikari-1a.jsonc',
)

describe('settings check', () => {
  it('says whose settings a good file holds', async () => {
    const run = await runWith(['settings', 'check', example])
    assert.equal(run.exitCode, ExitCode.Ok, run.err)
    assert.match(run.out, /good, instance ishikari-1a of zone ishikari-1$/)
  })

  it('lists all problems with file and line', async (t) => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'settings-'))
    t.after(() => {
      fs.rmSync(folder, { recursive: true })
    })
    const file = path.join(folder, 'wrong.jsonc')
    const text = fs
      .readFileSync(example, 'utf8')
      .replace('"port": 7111', '"port": 0')
      .replace('"level": "info"', '"level": "loud"')
      .replace('"zone": "ishikari-1",', '"zone": "ishikari-1", "zoen": 1,')
    fs.writeFileSync(file, text)
    const run = await runWith(['settings', 'check', file])
    assert.equal(run.exitCode, ExitCode.Usage)
    const lineOf = (part: string): number => {
      return text.split('\n').findIndex((line) => line.includes(part)) + 1
    }
    for (const [part, says] of [
      ['zoen', 'zoen: '],
      ['"port": 0', 'interfaces.callers.port: found 0'],
      ['loud', 'log.level: found "loud"'],
    ] as const) {
      assert.ok(run.err.includes(`${file}:${lineOf(part)}: ${says}`), run.err)
    }
    assert.match(run.err, /docs\/settings\.md/)
  })

  const wrong: readonly (readonly [string, readonly string[], RegExp])[] = [
    ['a file that is missing', ['check', '/no/such.jsonc'], /\/no\/such\.jsonc/],
    ['an unknown action', ['chek', example], /"chek" is not check/],
  ]
  for (const [what, argv, says] of wrong) {
    it(`refuses ${what}`, async () => {
      const run = await runWith(['settings', ...argv])
      assert.equal(run.exitCode, ExitCode.Usage)
      assert.match(run.err, says)
    })
  }
})
