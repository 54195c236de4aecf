/** Builds `dist/cherryhitch`: the bundled program inside a copy of the Node.js that runs this. */
import { execFileSync } from 'node:child_process'
import fs from 'node:fs'
import path from 'node:path'
import { bundleProgram } from './bundleProgram'

const root = path.resolve(import.meta.dirname, '..')
const outDir = path.join(root, 'dist')
const bundle = path.join(outDir, 'cherryhitch.cjs')
const blob = path.join(outDir, 'cherryhitch.blob')
const seaConfig = path.join(outDir, 'sea-config.json')
const binary = path.join(outDir, 'cherryhitch')

/** Marks the place in the Node.js binary where the program goes; fixed by Node.js itself. */
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const EXECUTABLE = 0o755

function makeBlob(): void {
  const config = { main: bundle, output: blob, disableExperimentalSEAWarning: true }
  fs.writeFileSync(seaConfig, JSON.stringify(config))
  execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], { stdio: 'inherit' })
}

function injectBlob(): void {
  fs.copyFileSync(process.execPath, binary)
  fs.chmodSync(binary, EXECUTABLE)
  const postject = path.join(root, 'node_modules/postject/dist/cli.js')
  const args = [postject, binary, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', SEA_FUSE]
  execFileSync(process.execPath, args, { stdio: 'inherit' })
}

fs.mkdirSync(outDir, { recursive: true })
await bundleProgram(bundle)
makeBlob()
injectBlob()
process.stdout.write(`built ${path.relative(root, binary)}\n`)
