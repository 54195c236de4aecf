import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatLoad } from './formatLoad'
import { measureLoad } from './measureLoad'
import { plotLoad } from './plotLoad'

describe('the price of decisions', () => {
  const cases = [
    { endpoints: 4, load: 0.5 },
    { endpoints: 8, load: 0.5 },
    { endpoints: 8, load: 1.3 },
  ]
  const rows = cases.map((one) => measureLoad({ ...one, seed: 1, playMs: 300 }))

  it('is measured for all steps of the leader', () => {
    for (const { stepSeconds, startUs, outcome } of rows) {
      assert.ok(stepSeconds > 0 && outcome.counted.starts > 0)
      assert.ok(Math.abs(startUs - (stepSeconds * 1e6) / outcome.counted.starts) < 1)
    }
  })

  it('is shown with what callers got, a row each', () => {
    const lines = formatLoad(rows).split('\n')
    assert.equal(lines.length, 2 + rows.length)
    assert.match(lines[2] ?? '', /^\| 4 \| 0\.5 \| 1 \|/)
  })

  it('is plotted with a line for each load', () => {
    const plot = plotLoad(rows)
    assert.equal(plot.match(/<polyline/g)?.length, 2)
    assert.ok(!plot.includes('NaN'))
  })
})
