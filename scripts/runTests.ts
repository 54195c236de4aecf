/** Runs every test file of the workspace, or those below the folders given, with node:test. */
import { spawn } from 'node:child_process'
import fs from 'node:fs'
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')
const defaultFolders = ['packages', 'apps', 'platform']
const CONCURRENCY = 4

function findTests(folder: string): string[] {
  return fs
    .readdirSync(path.join(root, folder), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.test.ts') && !file.includes('node_modules'))
    .map((file) => path.join(folder, file))
    .sort()
}

const folders = process.argv.slice(2)
const files = (folders.length > 0 ? folders : defaultFolders).flatMap(findTests)
const args = ['--import', 'tsx', '--test', `--test-concurrency=${CONCURRENCY}`, ...files]
const child = spawn(process.execPath, args, { cwd: root, stdio: 'inherit' })
child.on('exit', (code) => {
  process.exitCode = code ?? 1
})
