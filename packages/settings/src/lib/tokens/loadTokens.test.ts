import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { after, before, describe, it } from 'node:test'
import { formatSettingsProblem } from '../problems/SettingsProblem'
import { loadTokens } from './loadTokens'

describe('loadTokens', () => {
  let folder = ''
  const write = (name: string, content: string) => {
    const file = path.join(folder, name)
    fs.writeFileSync(file, content)
    return file
  }
  before(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-tokens-'))
  })
  after(() => {
    fs.rmSync(folder, { recursive: true })
  })

  const load = (caller: string, operator: string) =>
    loadTokens({
      callers: [{ caller: 'desk', file: caller, weight: 2 }],
      endpoints: write('endpoints', 'token-of-the-endpoints'),
      operators: [{ operator: 'sato', file: operator }],
      instances: write('instances', 'token-of-the-instances'),
    })

  it('reads each file without its line ending', () => {
    const tokens = load(write('c', 'token-of-the-callers\n'), write('o', 'token-of-operators'))
    assert.deepEqual(tokens.unwrap().callers, [
      { caller: 'desk', token: 'token-of-the-callers', weight: 2 },
    ])
  })

  const good = 'token-of-operators'
  const cases = [
    { what: 'an empty file', caller: '', found: /found 0 characters/ },
    { what: 'a short token', caller: 'secret', found: /found 6 characters/ },
    { what: 'two lines', caller: `${good}\n${good}`, found: /found spaces or characters/ },
    {
      what: 'the token of another user',
      caller: good,
      found: /found the token of tokens.callers\[0\]/,
    },
  ]
  for (const { what, caller, found } of cases) {
    it(`refuses ${what} without showing a token`, () => {
      const result = load(write('c', caller), write('o', good))
      assert.ok(result.err, 'it should be refused')
      const lines = result.val.map(formatSettingsProblem)
      assert.equal(lines.length, 1)
      assert.match(lines[0] ?? '', found)
      assert.doesNotMatch(lines[0] ?? '', /secret|token-of/)
    })
  }

  it('names every file that is missing', () => {
    const result = load(path.join(folder, 'none'), path.join(folder, 'neither'))
    assert.ok(result.err, 'it should be refused')
    assert.deepEqual(
      result.val.map(({ setting }) => setting),
      ['tokens.callers[0].file', 'tokens.operators[0].file'],
    )
  })
})
