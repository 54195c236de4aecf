import type { Exit } from 'effect'

/** What an effect failed of, for an operator: the message of its error, or of its defect. @internal */
export function describeExit(exit: Exit.Failure<unknown, unknown>): string {
  for (const reason of exit.cause.reasons) {
    if (reason._tag === 'Fail' && reason.error instanceof Error) return reason.error.message
    if (reason._tag === 'Die' && reason.defect instanceof Error) return reason.defect.message
  }
  return String(exit.cause)
}
