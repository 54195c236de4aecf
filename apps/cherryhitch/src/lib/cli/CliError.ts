import { ExitCode } from './ExitCode'

/** A failure that the command line explains to its user. @public */
export class CliError extends Error {
  /**
   * @param exitCode - what the process exits with
   * @param message - what went wrong, one sentence
   * @param hint - what to do next, one sentence
   */
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    readonly hint: string,
  ) {
    super(message)
  }
}

/** The command line is wrong. @internal */
export function usageError(message: string, hint: string): CliError {
  return new CliError(ExitCode.Usage, message, hint)
}
