import type { CommandContext } from '../../CommandContext'
import { callerClient, callerOptions, printAnswer } from '../../CommandContext'
import type { ConnectionFlags } from '../../http/HttpClient'
import { requireGood } from '../../http/problems'
import type { JobProgress } from './JobProgress'
import { describeJob } from './JobProgress'
import { callerHeaders } from './callerHeaders'

interface JobFlags extends ConnectionFlags {
  readonly cancel?: boolean
  readonly caller?: string
}

/** Registers `job`. @internal */
export function registerJobCommand({ cli, io }: CommandContext): void {
  callerOptions(cli.command('job <id>', 'Show one job, or cancel it'))
    .option('--cancel', 'Cancel the job')
    .option('--caller <name>', 'Caller, where no tokens are set')
    .example('cherryhitch job ishikari-1a.mb2k3x.7')
    .example('cherryhitch job ishikari-1a.mb2k3x.7 --cancel')
    .action(async (id: string, flags: JobFlags) => {
      const client = callerClient(flags, io)
      const method = flags.cancel === true ? 'DELETE' : 'GET'
      const path = `/v1/jobs/${encodeURIComponent(id)}`
      const answer = await client.ask({ method, path, headers: callerHeaders(flags.caller) })
      const job = requireGood(answer) as JobProgress
      printAnswer(io, flags, job, () => describeJob(job))
    })
}
