/**
 * A pure state machine: it decides, its shell acts.
 *
 * A step reads no clock, opens no socket and draws no random number, so the same code runs in
 * the daemon and in randomised runs.
 *
 * @public
 */
export abstract class Machine<Event, Action> {
  /**
   * Takes one event in and says what is to be done.
   *
   * @param now - the present time in milliseconds
   */
  abstract step(now: number, event: Event): readonly Action[]

  /** Takes events in one after the other, at the same present time. */
  stepAll(now: number, events: readonly Event[]): readonly Action[] {
    return events.flatMap((event) => this.step(now, event))
  }

  /** Lets time pass: due timeouts, heartbeats, renewals. */
  abstract tick(now: number): readonly Action[]

  /**
   * A step is over; its owner tells how long its first event waited, until all of it was done, in
   * milliseconds. What a machine makes of it is a decision of its own; by default it is nothing.
   */
  noteStep(_now: number, _behindMs: number): void {
    // Most machines never have more to do than they have time for.
  }

  /**
   * When the next tick has something to do, in milliseconds, as long as no event comes before;
   * Infinity for never. Ticks come at a steady pace by default.
   */
  get tickDueAt(): number {
    return -Infinity
  }
}
