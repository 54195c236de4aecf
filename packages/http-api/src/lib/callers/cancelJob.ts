import type { JobAnswer } from '@cherryhitch/protocol'
import { JobState } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import type { Reply } from '../exchange/Reply'
import { jsonReply } from '../exchange/Reply'
import type { Handler } from '../routing/Router'
import type { JobService } from '../services/JobService'
import { answerReply, jobProblem } from './answerReply'
import { readJobId, unknownJobReply, withRead } from './askJob'

const OK = 200

/** Handles `DELETE /v1/jobs/{id}`: cancels, and says where the job stands. @internal */
export function cancelJob(jobs: JobService): Handler {
  return (req) =>
    withRead(readJobId(req), (jobId) => {
      const question = { jobId, caller: req.sender, cancel: true, wait: false }
      return Effect.map(jobs.query(question), (answer) =>
        answer === undefined ? unknownJobReply(jobId) : cancelledReply(answer),
      )
    })
}

/** A job that is cancelled is what was asked for, so it is no failure here. */
function cancelledReply(answer: JobAnswer): Reply {
  if (answer.state !== JobState.CANCELLED) return answerReply(answer)
  const { jobId, state, ran, reason, detail, settingsVersion, settingsCurrent } = jobProblem(answer)
  return jsonReply(OK, { jobId, state, ran, reason, detail, settingsVersion, settingsCurrent })
}
