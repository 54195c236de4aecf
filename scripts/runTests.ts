/**
 * Runs every test file of the workspace, or those below the folders given, with node:test. Tests
 * that `KNOWN-RED.txt` lists may fail; they are printed at the end.
 */
import { spawn } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { parseKnownRed, unknownFailures } from './knownRed'
import type { FailedTest } from './knownRed'

const root = path.resolve(import.meta.dirname, '..')
const defaultFolders = ['packages', 'apps', 'platform', 'scripts']
const CONCURRENCY = 4

function findTests(folder: string): string[] {
  return fs
    .readdirSync(path.join(root, folder), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.test.ts') && !file.includes('node_modules'))
    .map((file) => path.join(folder, file))
    .sort()
}

function readIfThere(file: string): string {
  return fs.existsSync(file) ? fs.readFileSync(file, 'utf8') : ''
}

function readFailures(file: string): FailedTest[] {
  const lines = readIfThere(file).split('\n')
  return lines.flatMap((line) => (line === '' ? [] : (JSON.parse(line) as FailedTest)))
}

/** @returns the exit code: a run that failed for known reasons alone is a success */
function judge(code: number, failed: readonly FailedTest[]): number {
  const known = parseKnownRed(readIfThere(path.join(root, 'KNOWN-RED.txt')))
  for (const { line } of known) console.log(`known to fail: ${line}`)
  if (code === 0 || failed.length === 0) return code
  const unknown = unknownFailures(failed, known)
  for (const { file, test } of unknown) console.log(`failed: ${file}: ${test}`)
  return unknown.length === 0 ? 0 : code
}

const folders = process.argv.slice(2)
const files = (folders.length > 0 ? folders : defaultFolders).flatMap(findTests)
const results = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-tests-'))
const failures = path.join(results, 'failures.jsonl')
const reporters = [
  `--test-reporter=${process.stdout.isTTY ? 'spec' : 'tap'}`,
  '--test-reporter-destination=stdout',
  '--test-reporter=./scripts/failureReporter.js',
  `--test-reporter-destination=${failures}`,
]
const concurrency = `--test-concurrency=${CONCURRENCY}`
const args = ['--import', 'tsx', '--test', concurrency, ...reporters, ...files]
const child = spawn(process.execPath, args, { cwd: root, stdio: 'inherit' })
child.on('exit', (code) => {
  process.exitCode = judge(code ?? 1, readFailures(failures))
  fs.rmSync(results, { recursive: true })
})
