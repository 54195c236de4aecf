import { randomUUID } from 'node:crypto'
import { CliError } from '../../CliError'
import type { CliIo } from '../../CliIo'
import type { CommandContext } from '../../CommandContext'
import { callerClient, callerOptions, printAnswer } from '../../CommandContext'
import { ExitCode } from '../../ExitCode'
import { refuseStrayFlags } from '../../flags/refuseStrayFlags'
import type { ConnectionFlags, HttpClient } from '../../http/HttpClient'
import { requireGood } from '../../http/problems'
import { awaitJob } from './awaitJob'
import { callerHeaders } from './callerHeaders'
import type { JobProgress } from './JobProgress'
import { describeJob } from './JobProgress'
import type { JobBody, JobBodyFlags } from './readJobBody'
import { readJobBody } from './readJobBody'

/** With a file, the file alone says what the job is. */
const FILE_FLAGS = ['caller', 'key', 'detach']

interface SubmitFlags extends ConnectionFlags, JobBodyFlags {
  readonly caller?: string
  readonly key?: string
  readonly detach?: boolean
}

/** Registers `submit`. @internal */
export function registerSubmitCommand({ cli, io }: CommandContext): void {
  callerOptions(cli.command('submit [file]', 'Submit a job and print its whole answer'))
    .option('--service <name>', 'Instead of a file: one task of this service')
    .option('--payload <json>', 'Payload of that task; else null')
    .option('--deadline-ms <ms>', 'Deadline of that job')
    .option('--non-idempotent', 'That job runs at most once; a key is made when none is given')
    .option('--caller <name>', 'Caller, where no tokens are set')
    .option('--key <key>', 'Submission key: a resend with it joins the first submission')
    .option('--detach', 'Print the job id and do not wait')
    .example('cherryhitch submit job.json --caller desk-1 --key 2026-000117')
    .example('cherryhitch submit --service tracing --payload \'{"runMs":100}\'')
    .action(async (file: string | undefined, flags: SubmitFlags) => {
      if (file !== undefined) refuseStrayFlags(flags, FILE_FLAGS, 'submit FILE')
      const body = readJobBody(file, flags)
      const client = callerClient(flags, io)
      const started = await startJob(client, body, flags, io)
      const waits = flags.detach !== true
      const done = waits ? await awaitJob(client, started, flags.caller, io) : started
      printAnswer(io, flags, done, () => describeJob(done))
    })
}

async function startJob(
  client: HttpClient,
  body: JobBody,
  flags: SubmitFlags,
  io: CliIo,
): Promise<JobProgress> {
  const key = keyOf(body, flags)
  // Known before the answer is, so that a lost answer can be asked for.
  if (key !== undefined) io.printError(`submission key ${key}`)
  const headers = {
    ...callerHeaders(flags.caller),
    prefer: 'respond-async',
    ...(key === undefined ? {} : { 'idempotency-key': key }),
  }
  try {
    const answer = await client.ask({ method: 'POST', path: '/v1/jobs', headers, body })
    return requireGood(answer) as JobProgress
  } catch (err) {
    throw withAdvice(err, key)
  }
}

/** A job that must run at most once needs a key; with one made here a lost answer can be found. */
function keyOf(body: JobBody, flags: SubmitFlags): string | undefined {
  if (flags.key !== undefined) return flags.key
  return body.idempotent === true ? undefined : randomUUID()
}

function withAdvice(err: unknown, key: string | undefined): unknown {
  if (!(err instanceof CliError) || err.exitCode !== ExitCode.Unknown) return err
  if (key === undefined) return err
  const hint = `Submit the same again with --key ${key}, never with another one.`
  return new CliError(err.exitCode, err.message, hint)
}
