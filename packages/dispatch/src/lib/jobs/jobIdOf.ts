/** Id of the job that a task is of, from the task's name. @internal */
export function jobIdOf(task: string): string {
  return task.slice(0, task.indexOf('.'))
}
