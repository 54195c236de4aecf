import type { OwnerAction, OwnerEvent, RunTaskAction } from '@cherryhitch/owner'
import { OwnerActionKind, OwnerEventKind, RunResultKind, StopState } from '@cherryhitch/owner'
import type { SeededRandom } from '@cherryhitch/stand-ins'
import type { EventScheduler } from '@cherryhitch/runtime'
import type { JointEndpoint } from './JointEndpoint'
import { runResult } from './JointEndpoint'
import type { JointProcess } from './JointProcess'

type Tell = (event: OwnerEvent) => void
type Question = Exclude<Extract<OwnerAction, { address: string }>, RunTaskAction>

const MAX_DELAY_MS = 2
/** A request whose connection broke may arrive this much later. */
const MAX_LATE_MS = 4000
const BREAK_AFTER_MS = 5
const BREAK_SHARE = 0.02
const LOST_ANSWER_SHARE = 0.03
const NO_ANSWER_MS = 1000
const HANG_POLL_MS = 100

/** The HTTP requests of all owners, with what the network and dead processes do to them. */
export class EndpointRequests {
  /** Runs whose end the owner has not heard of, and how to tell it that they are lost. */
  private readonly outstanding = new Map<string, () => void>()

  constructor(
    private readonly agenda: EventScheduler,
    private readonly random: SeededRandom,
    private readonly endpoints: readonly JointEndpoint[],
  ) {}

  perform(process: JointProcess, action: OwnerAction): void {
    const tell = (event: OwnerEvent): void => {
      this.agenda.after(this.drawDelay(), () => {
        process.act(() => {
          process.tellOwner(event)
        })
      })
    }
    switch (action.kind) {
      case OwnerActionKind.RunTask:
        this.runTask(process, action, tell)
        return
      case OwnerActionKind.DropRun:
        this.outstanding.get(requestName(process, action.run))?.()
        return
      case OwnerActionKind.StopTasks:
      case OwnerActionKind.RenewLeases:
      case OwnerActionKind.Probe:
        this.ask(action, tell)
        return
      default:
        // Nothing that an endpoint would see.
        return
    }
  }

  /** Whatever becomes of the request, the owner hears of its end once. */
  private runTask(process: JointProcess, run: RunTaskAction, tell: Tell): void {
    const name = requestName(process, run.run)
    const answer = (event: OwnerEvent): void => {
      if (this.outstanding.delete(name)) tell(event)
    }
    const { endpoint, taskId } = run
    const fail = (kind: RunResultKind): void => {
      const result = { ...runResult(kind), answered: false }
      answer({ kind: OwnerEventKind.RunEnded, endpoint, taskId, run: run.run, result })
    }
    const lose = (): void => {
      fail(RunResultKind.Lost)
    }
    this.outstanding.set(name, lose)
    const target = this.endpoint(endpoint)
    const breaks = this.random.chance(BREAK_SHARE)
    const delay = breaks ? this.random.between(0, MAX_LATE_MS) : this.drawDelay()
    this.agenda.after(delay, () => {
      this.arrive(target, run, answer, fail)
    })
    if (breaks) this.agenda.after(BREAK_AFTER_MS, lose)
  }

  private arrive(
    target: JointEndpoint,
    run: RunTaskAction,
    answer: Tell,
    fail: (kind: RunResultKind) => void,
  ): void {
    if (!target.up) fail(RunResultKind.NotRun)
    else if (!target.hangs) target.take(this.agenda.now, run, answer)
    else {
      const { boot } = target
      this.agenda.after(HANG_POLL_MS, () => {
        if (target.boot === boot && target.up) this.arrive(target, run, answer, fail)
        else fail(RunResultKind.Lost)
      })
    }
  }

  private ask(question: Question, tell: Tell): void {
    const target = this.endpoint(question.endpoint)
    this.agenda.after(this.drawDelay(), () => {
      const isHeard = target.up && !target.hangs
      // What was asked for may be done and the answer be lost.
      const isAnswered = isHeard && !this.random.chance(LOST_ANSWER_SHARE)
      if (isHeard) target.take(this.agenda.now, question, isAnswered ? tell : ignore)
      if (isAnswered) return
      this.agenda.after(NO_ANSWER_MS, () => {
        tell(noAnswer(question))
      })
    })
  }

  private drawDelay(): number {
    return this.random.between(0.1, MAX_DELAY_MS)
  }

  private endpoint(name: string): JointEndpoint {
    const endpoint = this.endpoints.find(({ options }) => options.name === name)
    if (endpoint === undefined) throw new Error(`no endpoint ${name}`)
    return endpoint
  }
}

function requestName({ options }: JointProcess, run: number): string {
  return `${options.instance}.${options.boot}.${run}`
}

function ignore(): void {
  // The answer is lost.
}

function noAnswer(question: Question): OwnerEvent {
  const { endpoint } = question
  switch (question.kind) {
    case OwnerActionKind.StopTasks: {
      const results = question.taskIds.map((taskId) => ({ taskId, state: StopState.NoAnswer }))
      return { kind: OwnerEventKind.StopEnded, endpoint, results }
    }
    case OwnerActionKind.RenewLeases: {
      const taskIds = question.taskIds
      return {
        kind: OwnerEventKind.LeasesRenewed,
        endpoint,
        taskIds,
        knownTaskIds: undefined,
      }
    }
    default:
      return { kind: OwnerEventKind.ProbeEnded, endpoint, alive: false }
  }
}
