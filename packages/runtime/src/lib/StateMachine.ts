/**
 * A pure state machine. It returns actions, which its host performs.
 *
 * A step reads no clock, opens no socket and draws no random number, so the same code runs in the
 * daemon and in randomized simulations.
 *
 * @public
 */
export abstract class StateMachine<Event, Action> {
  /**
   * Handles one event and returns the actions to perform.
   *
   * @param now - the current time, in milliseconds
   */
  abstract step(now: number, event: Event): readonly Action[]

  /** Handles events in order, all at the same current time. */
  stepAll(now: number, events: readonly Event[]): readonly Action[] {
    return events.flatMap((event) => this.step(now, event))
  }

  /** Handles what is due by now, such as timeouts, heartbeats and renewals. */
  abstract tick(now: number): readonly Action[]

  /**
   * Called by the host at the end of each step, with the delay of the step, for machines that adapt
   * to overload.
   *
   * @param _delayMs - time from when the step was due until all its actions were performed, in
   *   milliseconds
   */
  recordStep(_now: number, _delayMs: number): void {
    // Does nothing by default: most machines are never short of processor time.
  }

  /**
   * Time from which the next tick has work to do, in milliseconds, provided that no event arrives
   * before; Infinity for never. By default, ticks come at a fixed interval.
   */
  get tickDueAt(): number {
    return -Infinity
  }
}
