import type { CallerLedger } from '@cherryhitch/stand-ins'
import { CallerOutcome } from '@cherryhitch/stand-ins'

/** Describes what the caller received, for each job without a complete answer. @internal */
export function findUnanswered(ledger: CallerLedger): readonly string[] {
  return ledger.attempts
    .filter(({ outcome }) => outcome !== CallerOutcome.Answered)
    .map(({ submission, outcome, status, detail, tokens }) => {
      return `${submission} (${tokens.length} tasks): ${outcome}, status ${status}: ${detail}`
    })
}
