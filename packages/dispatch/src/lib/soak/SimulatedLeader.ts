import type { DispatchAction } from '../DispatchAction'
import type { DispatchEvent } from '../DispatchEvent'
import type { DispatchMachine } from '../DispatchMachine'

/** What a simulated leader needs of the run around it. @internal */
export interface LeaderSurroundings {
  readonly machine: DispatchMachine
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  readonly perform: (actions: readonly DispatchAction[]) => void
}

/** A dispatcher in simulated time: when it takes events in, and when its actions go out. @internal */
export abstract class SimulatedLeader {
  constructor(protected readonly around: LeaderSurroundings) {}

  abstract tell(event: DispatchEvent): void
  abstract tick(): void
}

/** A dispatcher whose decisions take no time. @internal */
export class FreeLeader extends SimulatedLeader {
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
