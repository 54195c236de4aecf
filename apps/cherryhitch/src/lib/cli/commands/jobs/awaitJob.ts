import { CliError } from '../../CliError'
import type { CliIo } from '../../CliIo'
import { ExitCode } from '../../ExitCode'
import type { HttpClient } from '../../http/HttpClient'
import { requireGood } from '../../http/problems'
import { callerHeaders } from './callerHeaders'
import type { JobProgress } from './JobProgress'
import { describeProgress } from './JobProgress'

const POLL_MS = 250

/**
 * Waits for the end of a job. For a person progress is asked for and shown; a script waits in one
 * request, which is asked again when the instance answers before the job has ended.
 *
 * @throws CliError when the job failed, or when nobody can be asked any more
 * @internal
 */
export async function awaitJob(
  client: HttpClient,
  started: JobProgress,
  caller: string | undefined,
  io: CliIo,
): Promise<JobProgress> {
  const path = `/v1/jobs/${encodeURIComponent(started.jobId)}${io.isTerminal ? '' : '?wait=true'}`
  const headers = callerHeaders(caller)
  let job = started
  let shown = ''
  while (job.state === 'running') {
    const progress = describeProgress(job)
    if (io.isTerminal && progress !== shown) io.printError(progress)
    shown = progress
    if (job !== started) await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    try {
      job = requireGood(await client.ask({ method: 'GET', path, headers })) as JobProgress
    } catch (err) {
      throw stillOpen(err, started.jobId)
    }
  }
  return job
}

/** The job was taken: that nobody answers does not mean that it did not run. */
function stillOpen(err: unknown, jobId: string): unknown {
  if (!(err instanceof CliError) || err.exitCode !== ExitCode.Unreachable) return err
  return new CliError(ExitCode.Unknown, err.message, `Ask again: cherryhitch job ${jobId}`)
}
