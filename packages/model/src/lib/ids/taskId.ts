import { parseJobId } from './jobId'

/** Components of a task id: the id of its job and its index in that job. @public */
export interface TaskIdParts {
  readonly jobId: string
  readonly index: number
}

const indexPattern = /^\d{1,6}$/

/** Formats a task id such as `ishikari-1a.mb2k3x.7.0`. @public */
export function formatTaskId(jobId: string, index: number): string {
  return `${jobId}.${index}`
}

/** Parses a task id; undefined if the text is not one. @public */
export function parseTaskId(text: string): TaskIdParts | undefined {
  const dot = text.lastIndexOf('.')
  if (dot < 0) return undefined
  const jobId = text.slice(0, dot)
  const index = text.slice(dot + 1)
  if (!indexPattern.test(index) || parseJobId(jobId) === undefined) return undefined
  return { jobId, index: Number(index) }
}
