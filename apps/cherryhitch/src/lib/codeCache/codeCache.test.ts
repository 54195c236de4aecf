import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { after, before, describe, it } from 'node:test'
import { build } from 'esbuild'
import { codeCacheFile, readCodeCache, writeCodeCache } from './codeCache'

const ROLE = 'entry'
/** A program that prints its arguments and its file name, and exits on input. */
const PROGRAM = `
  const { basename } = require('node:path')
  console.log(process.argv.slice(2).join(' '), basename(__filename))
  process.stdin.on('data', () => process.exit(0))`

describe('code cache', () => {
  let folder = ''
  before(async () => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-code-cache-'))
    await build({
      entryPoints: [path.resolve(import.meta.dirname, '../../launch.ts')],
      outfile: path.join(folder, 'cherryhitch.cjs'),
      bundle: true,
      platform: 'node',
      format: 'cjs',
    })
  })
  after(() => {
    fs.rmSync(folder, { recursive: true })
  })

  const programFile = (): string => path.join(folder, 'program.cjs')
  const cacheFile = (): string => codeCacheFile(programFile(), ROLE)

  /** Runs the program until it exits; returns its output. */
  async function run(env: NodeJS.ProcessEnv = {}): Promise<{ out: string; err: string }> {
    const args = [path.join(folder, 'cherryhitch.cjs'), ROLE, '--quick']
    const child = spawn(process.execPath, args, { env: { ...process.env, ...env } })
    let out = ''
    let err = ''
    child.stderr.on('data', (chunk: Buffer) => {
      err += chunk.toString()
    })
    child.stdout.on('data', (chunk: Buffer) => {
      out += chunk.toString()
      if (env.CHERRYHITCH_STORE_CODE === undefined) child.stdin.write('end')
      else child.kill('SIGUSR2')
    })
    const [code] = (await once(child, 'exit')) as [number | null]
    assert.equal(code, 0)
    return { out: out.trim(), err }
  }

  it('is stored on request, and the program runs with and without it', async () => {
    fs.writeFileSync(programFile(), PROGRAM)
    const expected = { out: `${ROLE} --quick program.cjs`, err: '' }
    assert.deepEqual(await run(), expected)
    assert.deepEqual(await run({ CHERRYHITCH_STORE_CODE: '1' }), expected)
    assert.ok(fs.existsSync(cacheFile()))
    assert.deepEqual(await run(), expected)
  })

  it('stops waiting for the store signal when the build closes its input', async () => {
    const args = [path.join(folder, 'cherryhitch.cjs'), ROLE]
    const env = { ...process.env, CHERRYHITCH_STORE_CODE: '1' }
    const child = spawn(process.execPath, args, { env })
    child.stdin.end()
    const [code] = (await once(child, 'exit')) as [number | null]
    assert.equal(code, 1)
  })

  it('is not used for a changed program of the same length', async () => {
    fs.writeFileSync(programFile(), PROGRAM.replace('slice(2)', 'slice(3)'))
    assert.deepEqual(await run(), { out: '--quick program.cjs', err: '' })
  })

  it('is reported and not used when V8 rejects it', async () => {
    fs.writeFileSync(programFile(), PROGRAM)
    const bytes = fs.readFileSync(cacheFile())
    fs.writeFileSync(cacheFile(), bytes.subarray(0, bytes.length / 2))
    const { out, err } = await run()
    assert.equal(out, `${ROLE} --quick program.cjs`)
    assert.match(err, /not used/)
  })

  it('is read only for the source it was made from', () => {
    const file = path.join(folder, 'other.codecache')
    assert.equal(readCodeCache(file, 'a()'), undefined)
    writeCodeCache(file, 'a()', Buffer.from('code'))
    assert.equal(readCodeCache(file, 'a()')?.toString(), 'code')
    assert.equal(readCodeCache(file, 'b()'), undefined)
  })
})
