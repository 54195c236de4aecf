/** Builds `target/cherryhitch.cjs`, which the platform runs. */
import path from 'node:path'
import { bundleProgram } from './bundleProgram'

await bundleProgram(path.resolve(import.meta.dirname, '../target/cherryhitch.cjs'))
