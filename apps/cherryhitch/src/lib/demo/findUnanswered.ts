import type { CallerLedger } from '@cherryhitch/stand-ins'
import { CallerOutcome } from '@cherryhitch/stand-ins'

/** One sentence for each job without a whole answer, saying what its caller was told. @internal */
export function findUnanswered(ledger: CallerLedger): readonly string[] {
  return ledger.attempts
    .filter(({ outcome }) => outcome !== CallerOutcome.Answered)
    .map(({ submission, outcome, status, detail, tokens }) => {
      return `${submission} (${tokens.length} tasks): ${outcome}, status ${status}: ${detail}`
    })
}
