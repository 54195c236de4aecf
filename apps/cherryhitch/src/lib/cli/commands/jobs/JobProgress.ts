/** What the caller interface tells of a job that runs or has succeeded. @internal */
export interface JobProgress {
  readonly jobId: string
  readonly state: string
  readonly tasks?: number
  readonly tasksEnded?: number
  readonly outputs?: readonly unknown[]
}

/** @internal */
export function describeProgress({ jobId, tasks, tasksEnded }: JobProgress): string {
  return `${jobId}: ${tasksEnded ?? 0} of ${tasks ?? '?'} tasks ended`
}

/** The job and its outputs, a line each. @internal */
export function describeJob(job: JobProgress): string {
  const running = job.outputs === undefined && job.tasks !== undefined
  const head = `${job.jobId}  ${job.state}`
  if (running) return `${head}  ${job.tasksEnded ?? 0} of ${job.tasks} tasks ended`
  const outputs = job.outputs ?? []
  return [head, ...outputs.map((output, index) => `${index}  ${JSON.stringify(output)}`)].join('\n')
}
