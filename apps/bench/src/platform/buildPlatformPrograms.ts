import { execFile } from 'node:child_process'
import path from 'node:path'
import { promisify } from 'node:util'
import { build } from 'esbuild'

/** How the processes of a run are started. */
export interface PlatformPrograms {
  readonly root: string
  /** Arguments of Node.js for an instance with this settings file. */
  readonly dispatch: (settings: string) => readonly string[]
  readonly entry: (settings: string) => readonly string[]
}

/** As on the platform, see deploy/system.toml. */
const DISPATCH_OPTIONS = ['--max-old-space-size=200', '--max-semi-space-size=16']
const ENTRY_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=8']

/**
 * Bundles the dispatching instance with a disk that fails on demand, and the program.
 *
 * @param root - the tree whose code runs
 */
export async function buildPlatformPrograms(root: string): Promise<PlatformPrograms> {
  await promisify(execFile)('npm', ['run', '--silent', 'bundle'], { cwd: root })
  const outDir = path.join(root, 'dist/platform')
  await build({
    entryPoints: { child: path.join(root, 'apps/bench/src/platformChild.ts') },
    outdir: outDir,
    outExtension: { '.js': '.cjs' },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    external: ['dtrace-provider', 'mv', 'source-map-support'],
    logLevel: 'error',
  })
  return {
    root,
    dispatch: (settings) => [...DISPATCH_OPTIONS, path.join(outDir, 'child.cjs'), settings],
    entry: (settings) => [
      ...ENTRY_OPTIONS,
      path.join(root, 'target/cherryhitch.cjs'),
      'entry',
      '--settings',
      settings,
    ],
  }
}
