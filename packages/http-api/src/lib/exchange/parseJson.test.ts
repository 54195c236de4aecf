import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { parseJson } from './parseJson'

const SEED = 20261202
const MAX_DEPTH = 8
const text = fc.json({ maxDepth: MAX_DEPTH - 1 })

/** Parses and re-serializes a JSON text with Node's own parser. */
function rewrite(json: string): string {
  return JSON.stringify(JSON.parse(json))
}

describe('parseJson', () => {
  it('returns accepted values unchanged, and refuses only numbers that would change', () => {
    const holds = (json: string): void => {
      const result = parseJson(json, MAX_DEPTH)
      if (result.ok) assert.equal(JSON.stringify(result.val), rewrite(json))
      else assert.match(result.val.message, /too large to be passed on/)
    }
    fc.assert(fc.property(text, holds), { seed: SEED, numRuns: 500 })
  })

  it('refuses truncated texts with an error and never throws', () => {
    const cut = fc.tuple(text, fc.nat({ max: 200 }))
    const holds = ([json, at]: readonly [string, number]): void => {
      const result = parseJson(json.slice(0, at), MAX_DEPTH)
      if (result.err) assert.equal(result.val.kind, 'malformed')
    }
    fc.assert(fc.property(cut, holds), { seed: SEED, numRuns: 500 })
  })

  const cases: readonly (readonly [string, string])[] = [
    ['9007199254740991', ''],
    ['-9007199254740991', ''],
    ['9007199254740992', 'the body: '],
    ['{"a":[1,{"b/~":-9007199254740992}]}', '/a/1/b~1~0: '],
    ['[1e400]', '/0: '],
    ['0.1', ''],
    ['{"__proto__":{"x":1}}', ''],
    ['['.repeat(8) + ']'.repeat(8), ''],
    ['['.repeat(9) + ']'.repeat(9), 'The body is nested'],
    ['['.repeat(100_000) + ']'.repeat(100_000), 'The body is nested'],
    ['\ufeff{}', 'The body is not JSON'],
    ['NaN', 'The body is not JSON'],
  ]
  for (const [json, fault] of cases) {
    it(`${fault === '' ? 'takes' : 'refuses'} ${json.slice(0, 40)}`, () => {
      const result = parseJson(json, MAX_DEPTH)
      const message = result.err ? result.val.message : ''
      if (fault === '') assert.equal(message, '')
      else assert.ok(message.startsWith(fault), message)
    })
  }
})
