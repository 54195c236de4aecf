import type { VotersRow } from '../../http/operatorViews'
import { formatTable } from '../../output/formatTable'

/** The voters and how many of them may be lost. @internal */
export function describeVoters(voters: VotersRow): string {
  const { leader, term, commitIndex, safeLosses } = voters
  const head = `leader ${leader}  term ${term}  committed ${commitIndex}`
  const rows = voters.members.map((member) => [
    member.instance,
    member.diskId,
    member.learner ? 'learner' : 'voter',
    Math.max(0, commitIndex - member.matchIndex),
    `${Math.round(member.silentMs)} ms`,
  ])
  const table = formatTable(['INSTANCE', 'DISK', 'ROLE', 'BEHIND', 'SILENT'], rows)
  return [head, describeSafety(safeLosses), table].join('\n')
}

function describeSafety(safeLosses: number): string {
  if (safeLosses > 0) return `may lose ${safeLosses} more without losing the quorum`
  return 'may lose NO voter now: repair or wait before you stop one'
}
