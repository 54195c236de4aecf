import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { after, describe, it } from 'node:test'
import { Effect } from 'effect'
import type { LoggerOptions } from './createLogger'
import { createLogger, LogLevel } from './createLogger'
import { FloodLimiter } from './FloodLimiter'
import type { Logger } from './Logger'

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-logs-'))
let files = 0
after(() => {
  fs.rmSync(folder, { recursive: true })
})

interface Line {
  readonly name: string
  readonly level: number
  readonly msg: string
  readonly job?: string
  readonly err?: { readonly message: string }
}

/** Logs to a file and returns its parsed lines. */
async function linesOf(
  options: Partial<LoggerOptions>,
  use: (logger: Logger) => void,
): Promise<Line[]> {
  const file = path.join(folder, `${files++}.log`)
  const program = Effect.gen(function* () {
    use(yield* createLogger({ name: ['cherryhitch', 'i1'], file, ...options }))
  })
  await Effect.runPromise(Effect.scoped(program))
  const text = fs.readFileSync(file, 'utf8').trimEnd()
  return text === '' ? [] : text.split('\n').map((line) => JSON.parse(line) as Line)
}

describe('createLogger', () => {
  it('prefixes each line with its part and keeps the fields', async () => {
    const lines = await linesOf({}, (logger) => {
      logger.forPart('owner').info('task refused', { job: 'j1' })
      logger.forPart('links').error('peer lost', { err: new Error('reset') })
      logger.forPart('links').debug('not written')
    })
    assert.deepEqual(
      lines.map(({ msg, level }) => [msg, level]),
      [
        ['owner: task refused', 30],
        ['links: peer lost', 50],
      ],
    )
    assert.equal(lines[0]?.job, 'j1')
    assert.equal(lines[0].name, 'cherryhitch/i1')
    assert.equal(lines[1]?.err?.message, 'reset')
  })

  it('writes only lines at or above its level', async () => {
    const lines = await linesOf({ level: LogLevel.Error }, (logger) => {
      const log = logger.forPart('owner')
      log.warn('a warning')
      log.error('an error')
    })
    assert.deepEqual(
      lines.map(({ msg }) => msg),
      ['owner: an error'],
    )
  })

  it('does not interpret format specifiers, and protects reserved fields', async () => {
    const lines = await linesOf({}, (logger) => {
      logger.forPart('owner').info('used %s of %d', { msg: 'other', level: 60 })
    })
    assert.equal(lines[0]?.msg, 'owner: used %s of %d')
    assert.equal(lines[0].level, 30)
  })

  it('suppresses, counts and summarises repeats of the same message', async () => {
    let counters = {}
    const lines = await linesOf({ limits: { maxRepeats: 3 } }, (logger) => {
      for (let i = 0; i < 1000; i++) logger.forPart('links').warn('stream refused', { i })
      logger.forPart('links').info('another sentence')
      counters = logger.counters()
    })
    assert.deepEqual(
      lines.map(({ msg }) => msg),
      [
        'links: stream refused',
        'links: stream refused',
        'links: stream refused',
        'links: another sentence',
        'links: 997 more of "stream refused"',
      ],
    )
    assert.deepEqual(counters, { heldBack: 997, dropped: 0 })
  })
})

describe('FloodLimiter', () => {
  const limits = { maxRepeats: 2, maxLines: 5, periodMs: 1000 }

  it('admits the same line again in the next period, after the summary', () => {
    const limiter = new FloodLimiter<string>(limits)
    const admitted = [0, 1, 2, 3].map((now) => limiter.admit(now, 'a', 'a'))
    assert.deepEqual(admitted, [true, true, false, false])
    assert.deepEqual(limiter.sweep(999), [])
    assert.equal(limiter.admit(1000, 'a', 'a'), false)
    assert.deepEqual(limiter.sweep(1001), [{ key: 'a', count: 3 }])
    assert.equal(limiter.admit(1002, 'a', 'a'), true)
  })

  it('limits lines that all differ, within bounded memory', () => {
    const limiter = new FloodLimiter<number>(limits)
    let admitted = 0
    for (let i = 0; i < 10_000; i++) admitted += limiter.admit(i / 100, `line ${i}`, i) ? 1 : 0
    assert.equal(admitted, 5)
    assert.deepEqual(limiter.sweep(1000), [{ key: undefined, count: 9995 }])
  })
})
