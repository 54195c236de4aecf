import fs from 'node:fs'
import { usageError } from '../../CliError'
import { wholeNumber } from '../../flags/wholeNumber'

/** Flags that make up a job of one task. @internal */
export interface JobBodyFlags {
  readonly service?: string
  readonly payload?: string
  readonly deadlineMs?: string
  readonly nonIdempotent?: boolean
}

/** A job as the caller interface takes it; the instance checks it. @internal */
export type JobBody = Readonly<Record<string, unknown>>

const HINT = 'See docs/callers.md for a job.'

/** Reads a job from a file, or makes one of the flags. @throws CliError when there is none @internal */
export function readJobBody(file: string | undefined, flags: JobBodyFlags): JobBody {
  return file === undefined ? bodyFromFlags(flags) : bodyFromFile(file)
}

function bodyFromFile(file: string): JobBody {
  const STDIN = 0
  try {
    const body: unknown = JSON.parse(fs.readFileSync(file === '-' ? STDIN : file, 'utf8'))
    if (typeof body === 'object' && body !== null) return { ...body }
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err)
    throw usageError(`${file} can't be read as JSON: ${detail}.`, HINT)
  }
  throw usageError(`${file} holds no job.`, HINT)
}

function bodyFromFlags({ service, payload, deadlineMs, nonIdempotent }: JobBodyFlags): JobBody {
  if (service === undefined) {
    throw usageError('There is no job.', 'Name a file, or give --service and --payload.')
  }
  const deadline =
    deadlineMs === undefined ? {} : { deadlineMs: wholeNumber(deadlineMs, '--deadline-ms') }
  const tasks = [{ service, payload: parsePayload(payload ?? 'null') }]
  return { idempotent: nonIdempotent !== true, ...deadline, tasks }
}

function parsePayload(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw usageError(`--payload ${text} is not JSON.`, 'Quote it for the shell.')
  }
}
