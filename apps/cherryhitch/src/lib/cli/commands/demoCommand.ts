import { Effect } from 'effect'
import { defaultDemoOptions } from '../../demo/DemoOptions'
import { formatDemoReport } from '../../demo/DemoReport'
import { runDemo } from '../../demo/runDemo'
import { CliError } from '../CliError'
import type { CommandContext } from '../CommandContext'
import { ExitCode } from '../ExitCode'
import { wholeNumber } from '../flags/wholeNumber'

/** Registers `demo`. @internal */
export function registerDemoCommand({ cli, io }: CommandContext): void {
  cli
    .command('demo', 'Run seven instances and 33 stand-in endpoints here, and report')
    .option('--json', 'Print JSON for scripts')
    .option('--seed <n>', 'Seed of the work', { default: String(defaultDemoOptions.seed) })
    .example('cherryhitch demo')
    .action(async (flags: { readonly json?: boolean; readonly seed: string }) => {
      const options = { ...defaultDemoOptions, seed: wholeNumber(flags.seed, '--seed') }
      const report = await Effect.runPromise(runDemo(options, io.printError))
      io.print(flags.json === true ? JSON.stringify(report, null, 2) : formatDemoReport(report))
      if (report.invariants.holds && report.answeredJobs === report.jobs) return
      throw new CliError(
        ExitCode.Failed,
        `${report.jobs - report.answeredJobs} jobs were not answered whole, ${report.invariants.violations.length} promises were broken.`,
        'Run it again with --json for the list.',
      )
    })
}
