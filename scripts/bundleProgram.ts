/** Bundles the program into one file, which a plain Node.js runs. */
import path from 'node:path'
import { build } from 'esbuild'
import type { BuildOptions } from 'esbuild'

const root = path.resolve(import.meta.dirname, '..')
/** Optional parts of bunyan, which it does without when they are missing. */
const OPTIONAL_MODULES = ['dtrace-provider', 'mv', 'source-map-support']

function optionsFor(entry: string, outfile: string): BuildOptions {
  return {
    entryPoints: [path.join(root, 'apps/cherryhitch/src', entry)],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    external: OPTIONAL_MODULES,
    logLevel: 'warning',
  }
}

/** Bundles the program of the command line into the file. */
export async function bundleProgram(outfile: string): Promise<void> {
  await build(optionsFor('main.ts', outfile))
}

/** The same as `program.cjs` without white space, and as `cherryhitch.cjs` what starts it. */
export async function bundleLaunched(folder: string): Promise<void> {
  const program = optionsFor('main.ts', path.join(folder, 'program.cjs'))
  await build({ ...program, minifyWhitespace: true, minifySyntax: true })
  await build(optionsFor('launch.ts', path.join(folder, 'cherryhitch.cjs')))
}
