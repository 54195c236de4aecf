import type { DispatchAction } from '../DispatchAction'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'

/** Interface of the simulation to a leader. @internal */
export interface LeaderSurroundings {
  readonly machine: DispatchMachine
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  readonly perform: (actions: readonly DispatchAction[]) => void
}

/**
 * A dispatcher in simulated time. Subclasses define when it processes events and when its actions
 * are performed.
 *
 * @internal
 */
export abstract class SimulatedLeader {
  constructor(protected readonly around: LeaderSurroundings) {}

  abstract tell(event: DispatchEvent): void
  abstract tick(): void
}

/** A dispatcher whose decisions take no time. @internal */
export class InstantLeader extends SimulatedLeader {
  override tell(event: DispatchEvent): void {
    const { machine, now, perform } = this.around
    perform(machine.step(now(), event))
    machine.recordStep(now(), 0)
  }

  override tick(): void {
    const { machine, now, perform } = this.around
    perform(machine.tick(now()))
  }
}
