/** Builds `target/cherryhitch.cjs`, which the platform runs, and compiled code for each of its roles. */
import path from 'node:path'
import { bundleLaunched } from './bundleProgram'
import { storeCompiledCode } from './storeCompiledCode'

const folder = path.resolve(import.meta.dirname, '../target')
await bundleLaunched(folder)
try {
  await storeCompiledCode(folder)
} catch (err) {
  // The program runs without it, and compiles what it needs by itself.
  const reason = err instanceof Error ? err.message : String(err)
  process.stderr.write(`no compiled code was stored: ${reason}\n`)
}
