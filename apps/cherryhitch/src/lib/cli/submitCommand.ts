import { randomUUID } from 'node:crypto'
import fs from 'node:fs'
import { CliError, usageError } from './CliError'
import type { CliIo } from './CliIo'
import type { CommandContext } from './CommandContext'
import { callerClient, connectionOptions, printAnswer } from './CommandContext'
import { ExitCode } from './ExitCode'
import type { ConnectionFlags, HttpClient } from './httpClient'
import { requireGood } from './problems'
import type { NumberFlag } from './wholeNumber'
import { wholeNumber } from './wholeNumber'

const POLL_MS = 250
const ACCEPTED = 202
const DEFAULT_CALLER = 'operator'

interface SubmitFlags extends ConnectionFlags {
  readonly caller?: string
  readonly key?: string
  readonly service?: string
  readonly payload?: string
  readonly deadlineMs?: NumberFlag
  readonly nonIdempotent?: boolean
  readonly detach?: boolean
}

interface JobProgress {
  readonly jobId: string
  readonly state: string
  readonly tasks?: number
  readonly tasksEnded?: number
  readonly outputs?: readonly unknown[]
}

/** Registers `submit` and `job`. @internal */
export function registerSubmitCommands(context: CommandContext): void {
  registerSubmit(context)
  registerJob(context)
}

function registerSubmit({ cli, io }: CommandContext): void {
  connectionOptions(cli.command('submit [file]', 'Submit a job and print its whole answer'))
    .option('--service <name>', 'Instead of a file: one task of this service')
    .option('--payload <json>', 'Payload of that task', { default: 'null' })
    .option('--deadline-ms <ms>', 'Deadline of that job')
    .option('--non-idempotent', 'That job runs at most once; a key is made when none is given')
    .option('--caller <name>', 'Caller, where no tokens are set')
    .option('--key <key>', 'Submission key: a resend with it joins the first submission')
    .option('--detach', 'Print the job id and do not wait')
    .example('cherryhitch submit job.json --caller desk-1 --key 2026-000117')
    .example('cherryhitch submit --service tracing --payload \'{"runMs":100}\'')
    .action(async (file: string | undefined, flags: SubmitFlags) => {
      const body = file === undefined ? bodyFromFlags(flags) : readBody(file)
      const client = callerClient(flags, io)
      const started = await startJob(client, body, flags)
      const done = flags.detach === true ? started : await waitForEnd(client, started, flags, io)
      printAnswer(io, flags, done, () => describeJob(done))
    })
}

function registerJob({ cli, io }: CommandContext): void {
  connectionOptions(cli.command('job <id>', 'Show one job, or cancel it'))
    .option('--cancel', 'Cancel the job')
    .option('--caller <name>', 'Caller, where no tokens are set')
    .example('cherryhitch job ishikari-1a.mb2k3x.7 --cancel')
    .action(async (id: string, flags: SubmitFlags & { readonly cancel?: boolean }) => {
      const client = callerClient(flags, io)
      const method = flags.cancel === true ? 'DELETE' : 'GET'
      const path = `/v1/jobs/${encodeURIComponent(id)}`
      const answer = await client.ask({ method, path, headers: callerHeaders(flags) })
      const job = requireGood(answer) as JobProgress
      printAnswer(io, flags, job, () => describeJob(job))
    })
}

function readBody(file: string): Readonly<Record<string, unknown>> {
  try {
    const body: unknown = JSON.parse(fs.readFileSync(file === '-' ? 0 : file, 'utf8'))
    if (typeof body === 'object' && body !== null) return { ...body }
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err)
    throw usageError(`${file} can't be read as JSON: ${detail}`, 'See docs/callers.md for a job.')
  }
  throw usageError(`${file} holds no job.`, 'See docs/callers.md for a job.')
}

function bodyFromFlags(flags: SubmitFlags): Readonly<Record<string, unknown>> {
  if (flags.service === undefined) {
    throw usageError('There is no job.', 'Name a file, or give --service and --payload.')
  }
  return {
    idempotent: flags.nonIdempotent !== true,
    ...(flags.deadlineMs === undefined
      ? {}
      : { deadlineMs: wholeNumber(flags.deadlineMs, '--deadline-ms') }),
    tasks: [{ service: flags.service, payload: parsePayload(flags.payload ?? 'null') }],
  }
}

function parsePayload(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw usageError(`--payload ${text} is not JSON.`, 'Quote it for the shell.')
  }
}

function callerHeaders(flags: SubmitFlags): Readonly<Record<string, string>> {
  return { 'cherryhitch-caller': flags.caller ?? DEFAULT_CALLER }
}

/** A job that must run at most once needs a key; with one made here a lost answer can be found. */
function keyOf(body: Readonly<Record<string, unknown>>, flags: SubmitFlags): string | undefined {
  if (flags.key !== undefined) return flags.key
  return body.idempotent === true ? undefined : randomUUID()
}

async function startJob(
  client: HttpClient,
  body: Readonly<Record<string, unknown>>,
  flags: SubmitFlags,
): Promise<JobProgress> {
  const key = keyOf(body, flags)
  const headers = {
    ...callerHeaders(flags),
    prefer: 'respond-async',
    ...(key === undefined ? {} : { 'idempotency-key': key }),
  }
  const answer = await client.ask({ method: 'POST', path: '/v1/jobs', headers, body })
  return requireGood(answer) as JobProgress
}

async function waitForEnd(
  client: HttpClient,
  started: JobProgress,
  flags: SubmitFlags,
  io: CliIo,
): Promise<JobProgress> {
  if (!io.isTerminal) return askJob(client, started.jobId, flags, '?wait=true')
  let job = started
  while (job.state === 'running') {
    io.printError(`${job.jobId}: ${job.tasksEnded ?? 0} of ${job.tasks ?? '?'} tasks ended`)
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    job = await askJob(client, started.jobId, flags, '')
  }
  return job
}

async function askJob(
  client: HttpClient,
  jobId: string,
  flags: SubmitFlags,
  query: string,
): Promise<JobProgress> {
  const path = `/v1/jobs/${jobId}${query}`
  const answer = await client.ask({ method: 'GET', path, headers: callerHeaders(flags) })
  const job = requireGood(answer) as JobProgress
  if (query !== '' && answer.status === ACCEPTED) {
    throw new CliError(
      ExitCode.Unknown,
      `${jobId} still runs.`,
      `Ask again: cherryhitch job ${jobId}`,
    )
  }
  return job
}

function describeJob(job: JobProgress): string {
  const head = `${job.jobId}  ${job.state}`
  const outputs = job.outputs ?? []
  return [head, ...outputs.map((output, index) => `${index}  ${JSON.stringify(output)}`)].join('\n')
}
