/** Extracts the job id from the name of a task. @internal */
export function jobIdOf(task: string): string {
  return task.slice(0, task.indexOf('.'))
}
