import type { JobAnswer } from '@cherryhitch/protocol'
import { JobState } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import type { Reply } from '../exchange/Reply'
import { jsonReply } from '../exchange/Reply'
import type { Handler } from '../routing/Router'
import type { JobService } from '../services/JobService'
import { answerReply, jobProblem } from './answerReply'
import { readJobId, unknownJobReply, withParsed } from './askJob'

const OK = 200

/** Handles `DELETE /v1/jobs/{id}`: cancels the job and returns its state. @internal */
export function cancelJob(jobs: JobService): Handler {
  return (req) =>
    withParsed(readJobId(req), (jobId) => {
      const question = { jobId, caller: req.sender, cancel: true, wait: false }
      return Effect.map(jobs.query(question), (answer) =>
        answer === undefined ? unknownJobReply(jobId) : cancelledReply(answer),
      )
    })
}

/** Here a cancelled job is the requested result, so it is answered with 200, not as a problem. */
function cancelledReply(answer: JobAnswer): Reply {
  if (answer.state !== JobState.CANCELLED) return answerReply(answer)
  const { jobId, state, ran, reason, detail, settingsVersion, settingsCurrent } = jobProblem(answer)
  return jsonReply(OK, { jobId, state, ran, reason, detail, settingsVersion, settingsCurrent })
}
