import { CrashBlame, TaskStanding } from './CrashBlame'

/** Baseline: attributes no loss to a task. @public */
export class NeverBlamed extends CrashBlame {
  override standing(): TaskStanding {
    return TaskStanding.Clear
  }
}
