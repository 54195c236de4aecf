import assert from 'node:assert/strict'
import { Writable } from 'node:stream'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { LineWriter, MAX_BUFFERED_BYTES } from './LineWriter'

/** Records each write as a separate chunk. */
class RecordingStream extends Writable {
  readonly chunks: string[] = []

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.chunks.push(chunk.toString())
    done()
  }
}

describe('LineWriter', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] })
  })
  afterEach(() => {
    mock.timers.reset()
  })

  it('batches lines that arrive close together', async () => {
    const stream = new RecordingStream()
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

  it('flushes buffered lines on close', async () => {
    const stream = new RecordingStream()
    const writer = new LineWriter(stream)
    writer.write('last\n')
    await writer.close()
    assert.deepEqual(stream.chunks, ['last\n'])
  })

  // One failed write, as on a disk that is full for a second, ended the log until a restart.
  it('writes to a new stream some time after the first one has failed', async () => {
    const broken = new RecordingStream()
    const next = new RecordingStream()
    const writer = new LineWriter(broken, MAX_BUFFERED_BYTES, () => next)
    broken.emit('error', new Error('no space left'))
    assert.equal(writer.write('lost\n'), false)
    mock.timers.tick(1_000)
    assert.equal(writer.write('kept\n'), true)
    await writer.close()
    assert.deepEqual(next.chunks, ['kept\n'])
    assert.equal(writer.dropped, 1)
  })

  it('flushes a large batch immediately, in order of arrival', async () => {
    const stream = new RecordingStream()
    const writer = new LineWriter(stream)
    const long = 'x'.repeat(70_000)
    writer.write('first\n')
    writer.write(long)
    assert.deepEqual(stream.chunks, [`first\n${long}`])
    await writer.close()
  })
})
