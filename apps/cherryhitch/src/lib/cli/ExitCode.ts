/** Exit codes of the command line; `docs/operators.md` lists them. @public */
export enum ExitCode {
  Ok = 0,
  /** The job failed, or the command could not do its work. */
  Failed = 1,
  /** The command line or a settings file is wrong. */
  Usage = 2,
  /** Refused, and truly not run: safe to send again. */
  NotRun = 3,
  /** It may have run. */
  Unknown = 4,
  /** Another operator's change came first. */
  Conflict = 5,
  /** No instance answered. */
  Unreachable = 6,
}
