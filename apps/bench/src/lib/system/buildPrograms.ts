import path from 'node:path'
import { build } from 'esbuild'

/** Scripts that the bench starts processes from. */
export interface BenchPrograms {
  readonly cherryhitch: string
  readonly endpoints: string
  readonly links: string
}

const root = path.resolve(import.meta.dirname, '../../../../..')
const outDir = path.join(root, 'dist/bench')

/** Bundles the daemon and the bench's children, so that no compiler runs in what is measured. */
export async function buildPrograms(): Promise<BenchPrograms> {
  await build({
    entryPoints: {
      cherryhitch: path.join(root, 'apps/cherryhitch/src/main.ts'),
      endpoints: path.join(root, 'apps/bench/src/endpointChild.ts'),
      links: path.join(root, 'apps/bench/src/linkChild.ts'),
    },
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
    cherryhitch: path.join(outDir, 'cherryhitch.cjs'),
    endpoints: path.join(outDir, 'endpoints.cjs'),
    links: path.join(outDir, 'links.cjs'),
  }
}
