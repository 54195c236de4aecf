import assert from 'node:assert/strict'
import { Writable } from 'node:stream'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { LineWriter } from './LineWriter'

/** A stream that keeps what it is given, one item for each write. */
class Kept extends Writable {
  readonly chunks: string[] = []

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.chunks.push(chunk.toString())
    done()
  }
}

describe('a writer of lines', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] })
  })
  afterEach(() => {
    mock.timers.reset()
  })

  it('writes lines together that come together', async () => {
    const stream = new Kept()
    const writer = new LineWriter(stream)
    writer.write('a\n')
    writer.write('b\n')
    assert.deepEqual(stream.chunks, [])
    mock.timers.tick(30)
    writer.write('c\n')
    mock.timers.tick(30)
    assert.deepEqual(stream.chunks, ['a\nb\n', 'c\n'])
    await writer.close()
  })

  it('writes out what it has when it is closed', async () => {
    const stream = new Kept()
    const writer = new LineWriter(stream)
    writer.write('last\n')
    await writer.close()
    assert.deepEqual(stream.chunks, ['last\n'])
  })

  it('writes at once what is a lot, in the order in which it came', async () => {
    const stream = new Kept()
    const writer = new LineWriter(stream)
    const long = 'x'.repeat(70_000)
    writer.write('first\n')
    writer.write(long)
    assert.deepEqual(stream.chunks, [`first\n${long}`])
    await writer.close()
  })
})
