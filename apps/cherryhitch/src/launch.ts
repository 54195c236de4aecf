/**
 * Starts the bundled program beside this file from code that was compiled when it was built, where
 * there is some that fits. A process then compiles neither its start nor what its first jobs need.
 */
import fs from 'node:fs'
import Module, { createRequire } from 'node:module'
import path from 'node:path'
import { Script } from 'node:vm'
import { codeCacheFile, readCodeCache, writeCodeCache } from './lib/codeCache/codeCache'

/** Set by the build alone: on this signal the process stores its compiled code and ends. */
const STORE_VARIABLE = 'CHERRYHITCH_STORE_CODE'
const STORE_SIGNAL = 'SIGUSR2'

/** What Node.js wraps around each module. */
type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  dirname: string,
) => void

const [, launcher = '', role = ''] = process.argv
const folder = path.dirname(launcher)
const programFile = path.join(folder, 'program.cjs')
const source = Module.wrap(fs.readFileSync(programFile, 'utf8'))
const cacheFile = codeCacheFile(programFile, role)
const isStoring = process.env[STORE_VARIABLE] !== undefined
const cachedData = isStoring ? undefined : readCodeCache(cacheFile, source)
const script = new Script(source, {
  filename: programFile,
  ...(cachedData !== undefined && { cachedData }),
})
if (script.cachedDataRejected === true) {
  process.stderr.write(`${cacheFile} was made by another Node.js or with other options: not used\n`)
}

if (isStoring) {
  // A build that is broken off leaves no process behind.
  process.stdin.resume().on('end', () => process.exit(1))
  process.on(STORE_SIGNAL, () => {
    writeCodeCache(cacheFile, source, script.createCachedData())
    process.exit(0)
  })
}

const run = script.runInThisContext() as ModuleFunction
const module = { exports: {} }
run(module.exports, createRequire(programFile), module, programFile, folder)
