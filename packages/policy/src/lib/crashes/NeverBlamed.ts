import { CrashBlame, TaskStanding } from './CrashBlame'

/** Takes no task for the cause of a loss. @public */
export class NeverBlamed extends CrashBlame {
  override standing(): TaskStanding {
    return TaskStanding.Clear
  }
}
