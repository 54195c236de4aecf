import type { JobAnswer } from '@cherryhitch/protocol'
import { JobState, Outcome } from '@cherryhitch/protocol'
import { parseTaskId } from '@cherryhitch/model'

/** What a caller asked for. */
export interface JointSubmission {
  readonly requestId: string
  /** Payloads of its tasks; equal for every submission of one key. */
  readonly payloads: readonly string[]
  readonly instance: string
  /** Sees whether the process that was asked still runs. */
  readonly isAlive: () => boolean
  readonly answers: (JobAnswer | undefined)[]
}

/** @throws Error when the condition does not hold */
export function assertThat(holds: boolean, sentence: string): asserts holds {
  if (!holds) throw new Error(sentence)
}

/** What must hold in every run, watched from the endpoints' and the callers' side. */
export class JointChecks {
  readonly submissions = new Map<string, JointSubmission>()
  starts = 0
  private readonly startsById = new Map<string, number>()
  private readonly startedJobs = new Set<string>()
  private readonly notRunJobs = new Set<string>()
  private readonly idByKeyedPayload = new Map<string, string>()

  /** An endpoint starts a task. Payloads of keyed tasks begin with "key". */
  noteStart(taskId: string, payload: string): void {
    this.starts++
    const count = (this.startsById.get(taskId) ?? 0) + 1
    this.startsById.set(taskId, count)
    assertThat(count === 1, `task ${taskId} was started ${count} times`)
    const { jobId = '' } = parseTaskId(taskId) ?? {}
    this.startedJobs.add(jobId)
    assertThat(!this.notRunJobs.has(jobId), `${taskId} was started after "not run" was said`)
    if (!payload.startsWith('"key')) return
    const earlier = this.idByKeyedPayload.get(payload)
    assertThat(earlier === undefined, `${payload} ran as ${earlier ?? ''} and as ${taskId}`)
    this.idByKeyedPayload.set(payload, taskId)
  }

  noteReply(requestId: string, answer: JobAnswer | undefined): void {
    const submission = this.submissions.get(requestId)
    if (submission === undefined) return
    submission.answers.push(answer)
    const replies = submission.answers.length
    assertThat(replies === 1, `${requestId} was answered ${replies} times`)
    if (answer === undefined) return
    if (answer.outcome === Outcome.NOT_RUN && answer.jobId !== '') {
      const { jobId } = answer
      assertThat(!this.startedJobs.has(jobId), `${jobId} ran, but its answer says "not run"`)
      this.notRunJobs.add(jobId)
    }
    const isDone = answer.state === JobState.SUCCEEDED
    const outputs = JSON.stringify(answer.outputs)
    const wanted = isDone ? JSON.stringify(submission.payloads) : '[]'
    assertThat(outputs === wanted, `${requestId} got ${outputs} instead of ${wanted}`)
  }

  /** At the end, when every deadline has passed. */
  checkAnswered(): void {
    for (const { requestId, answers, instance, isAlive } of this.submissions.values()) {
      assertThat(answers.length === 1 || !isAlive(), `${instance} never answered ${requestId}`)
    }
  }

  count(state: JobState): number {
    const all = [...this.submissions.values()].flatMap(({ answers }) => answers)
    return all.filter((answer) => answer?.state === state).length
  }
}
