import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseKnownRed, unknownFailures } from './knownRed'

const LINE = 'packages/a/b.test.ts: sends few messages; seed 1, 20 a second; fixed paces; issue 1'

describe('the list of known failures', () => {
  it('names tests by their file and title', () => {
    const [only] = parseKnownRed(`${LINE}\n`)
    assert.equal(only?.file, 'packages/a/b.test.ts')
    assert.equal(only.test, 'sends few messages')
  })

  it('refuses what it cannot read, and a long list', () => {
    assert.throws(() => parseKnownRed('something'))
    assert.throws(() => parseKnownRed(Array.from({ length: 4 }, () => LINE).join('\n')))
  })

  it('lets nothing else pass', () => {
    const known = parseKnownRed(LINE)
    const listed = { file: 'packages/a/b.test.ts', test: 'sends few messages' }
    const other = { file: 'packages/a/b.test.ts', test: 'another' }
    assert.deepEqual(unknownFailures([listed, other], known), [other])
  })
})
