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
  /** No instance answered, or the quorum of voters can't be reached. */
  Unreachable = 6,
}

/** One line on each code, for help texts. @internal */
export const exitCodeTexts: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Ok]: 'done',
  [ExitCode.Failed]: 'the job failed, or the command could not do its work',
  [ExitCode.Usage]: 'the command line or a settings file is wrong',
  [ExitCode.NotRun]: 'refused, and truly not run: safe to send again',
  [ExitCode.Unknown]: 'it may have run: find out before you send it again',
  [ExitCode.Conflict]: 'another change came first, and nothing was changed',
  [ExitCode.Unreachable]: 'no instance answered, or the voters can not be reached',
}
