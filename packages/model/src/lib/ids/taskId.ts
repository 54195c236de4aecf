import { parseJobId } from './jobId'

/** A task id is its job's id and its index there. @public */
export interface TaskIdParts {
  readonly jobId: string
  readonly index: number
}

const indexPattern = /^\d{1,6}$/

/** Writes a task id such as `ishikari-1a.mb2k3x.7.0`. @public */
export function formatTaskId(jobId: string, index: number): string {
  return `${jobId}.${index}`
}

/** Reads a task id; undefined when the text is none. @public */
export function parseTaskId(text: string): TaskIdParts | undefined {
  const cut = text.lastIndexOf('.')
  if (cut < 0) return undefined
  const jobId = text.slice(0, cut)
  const index = text.slice(cut + 1)
  if (!indexPattern.test(index) || parseJobId(jobId) === undefined) return undefined
  return { jobId, index: Number(index) }
}
