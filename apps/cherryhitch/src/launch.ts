/**
 * Starts the bundled program next to this file, with the code cache that was created at build time
 * if a matching one exists. The process then compiles neither its startup code nor the code that
 * its first jobs need.
 */
import fs from 'node:fs'
import Module, { createRequire } from 'node:module'
import path from 'node:path'
import { Script } from 'node:vm'
import { codeCacheFile, readCodeCache, writeCodeCache } from './lib/codeCache/codeCache'

/** Set only by the build: on `STORE_SIGNAL`, the process stores its compiled code and exits. */
const STORE_VARIABLE = 'CHERRYHITCH_STORE_CODE'
const STORE_SIGNAL = 'SIGUSR2'

/** The function that Node.js wraps around each CommonJS module. */
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
  process.stderr.write(
    `${cacheFile} not used: made by another version of Node.js or with other options\n`,
  )
}

if (isStoring) {
  // Exits when the build is aborted and its end of the pipe closes.
  process.stdin.resume().on('end', () => process.exit(1))
  process.on(STORE_SIGNAL, () => {
    writeCodeCache(cacheFile, source, script.createCachedData())
    process.exit(0)
  })
}

const run = script.runInThisContext() as ModuleFunction
const module = { exports: {} }
run(module.exports, createRequire(programFile), module, programFile, folder)
