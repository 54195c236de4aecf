/** Bundles the program into one file, which a plain Node.js runs. */
import path from 'node:path'
import { build } from 'esbuild'

const root = path.resolve(import.meta.dirname, '..')
/** Optional parts of bunyan, which it does without when they are missing. */
const OPTIONAL_MODULES = ['dtrace-provider', 'mv', 'source-map-support']

/** Bundles the program of the command line into the file. */
export async function bundleProgram(outfile: string): Promise<void> {
  await build({
    entryPoints: [path.join(root, 'apps/cherryhitch/src/main.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    external: OPTIONAL_MODULES,
    logLevel: 'warning',
  })
}
