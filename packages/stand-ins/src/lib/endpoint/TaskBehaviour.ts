import type { SeededRandom } from '../util/SeededRandom'

/** How one task will go at the stand-in. @public */
export interface TaskPlan {
  readonly runMs: number
  readonly succeeds: boolean
}

/** What an endpoint does with the tasks it starts. @public */
export abstract class TaskBehaviour {
  /**
   * @param now - the present time in milliseconds
   * @param runMs - the task's own run time, from its payload
   */
  abstract plan(now: number, runMs: number, random: SeededRandom): TaskPlan
}

/** Runs each task for its own time and succeeds. @public */
export class NormalBehaviour extends TaskBehaviour {
  override plan(_now: number, runMs: number): TaskPlan {
    return { runMs, succeeds: true }
  }
}

/** When a failing endpoint reports the failure. @public */
export enum FailureSpeed {
  /** At once, so that it looks free and draws more work. */
  Fast = 'fast',
  /** After the task's run time. */
  Slow = 'slow',
}

/** Fails every task. @public */
export class FailEveryBehaviour extends TaskBehaviour {
  constructor(private readonly speed: FailureSpeed) {
    super()
  }

  override plan(_now: number, runMs: number): TaskPlan {
    return { runMs: this.speed === FailureSpeed.Fast ? 0 : runMs, succeeds: false }
  }
}

/** A straggler: each task takes a multiple of its own time. @public */
export class SlowBehaviour extends TaskBehaviour {
  constructor(private readonly factor: number) {
    super()
  }

  override plan(_now: number, runMs: number): TaskPlan {
    return { runMs: runMs * this.factor, succeeds: true }
  }
}

/** A share of the tasks takes a multiple of its own time. @public */
export class StraggleSomeBehaviour extends TaskBehaviour {
  constructor(
    private readonly share: number,
    private readonly factor: number,
  ) {
    super()
  }

  override plan(_now: number, runMs: number, random: SeededRandom): TaskPlan {
    return { runMs: random.chance(this.share) ? runMs * this.factor : runMs, succeeds: true }
  }
}

/** A share of the tasks fails after its run time. @public */
export class FailSomeBehaviour extends TaskBehaviour {
  constructor(private readonly share: number) {
    super()
  }

  override plan(_now: number, runMs: number, random: SeededRandom): TaskPlan {
    return { runMs, succeeds: !random.chance(this.share) }
  }
}

/** Fails fast for half of each period and runs normally for the other half. @public */
export class FlappingBehaviour extends TaskBehaviour {
  constructor(private readonly periodMs: number) {
    super()
  }

  override plan(now: number, runMs: number): TaskPlan {
    const failing = now % this.periodMs < this.periodMs / 2
    return failing ? { runMs: 0, succeeds: false } : { runMs, succeeds: true }
  }
}
