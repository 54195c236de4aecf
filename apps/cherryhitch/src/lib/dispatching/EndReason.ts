import { Effect } from 'effect'

/** Lets one of several parts end the process, and says why. @internal */
export class EndReason {
  private resume: ((effect: Effect.Effect<string>) => void) | undefined
  private reason: string | undefined

  /** A part died of a defect: the platform starts the process again. */
  note(reason: string): void {
    this.reason ??= reason
    this.resume?.(Effect.succeed(this.reason))
  }

  readonly wait: Effect.Effect<string> = Effect.callback((resume) => {
    if (this.reason !== undefined) resume(Effect.succeed(this.reason))
    else this.resume = resume
  })
}
