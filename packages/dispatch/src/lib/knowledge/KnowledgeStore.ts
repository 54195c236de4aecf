import type { EndpointSpeedSample, RunTimeSample } from '@cherryhitch/policy'
import { HintTable } from './HintTable'
import type { LearntSamples } from './LearntSamples'

const MAX_RUN_TIMES = 10_000
const MAX_SPEEDS = 20_000
/** Largest weight of a speed that was heard, so that some dozen own runs outweigh it. */
const MAX_SPEED_RUNS = 20
/** Age at which the weight of a speed has decayed to 1/e, as that of a run observed here. */
const SPEED_TAU_MS = 30_000

/** What an instance has heard from leaders. @internal */
export class KnowledgeStore {
  private readonly runTimes = new HintTable<RunTimeSample>(MAX_RUN_TIMES)
  private readonly speeds = new HintTable<EndpointSpeedSample>(MAX_SPEEDS)

  /** Stores what the leader of a term has sent; returns the number of entries known better. */
  put(now: number, term: number, { runTimes, speeds }: LearntSamples): number {
    const stored = [
      ...runTimes.map((sample) => {
        const key = JSON.stringify([sample.caller ?? null, sample.service])
        return this.runTimes.put(now, key, { term, learntAt: now - sample.ageMs, sample })
      }),
      ...speeds.map((sample) => {
        return this.speeds.put(now, sample.endpoint, { term, learntAt: now, sample })
      }),
    ]
    return stored.filter((isStored) => !isStored).length
  }

  /** Everything, with present ages and the weights that were sent. */
  all(now: number): LearntSamples {
    const speeds = this.speeds.all(now).map(({ sample }) => sample)
    return { runTimes: this.allRunTimes(now), speeds }
  }

  /** All run times, with their present ages. */
  allRunTimes(now: number): RunTimeSample[] {
    return this.runTimes.all(now).map(({ learntAt, sample }) => {
      return { ...sample, ageMs: now - learntAt }
    })
  }

  /** The speed of an endpoint, with the weight that it still has, and its age. */
  speedOf(now: number, endpoint: string): HeardSpeed | undefined {
    const hint = this.speeds.get(now, endpoint)
    if (hint === undefined) return undefined
    const ageMs = now - hint.learntAt
    const runs = Math.min(MAX_SPEED_RUNS, hint.sample.runs) * Math.exp(-ageMs / SPEED_TAU_MS)
    return { ageMs, sample: { ...hint.sample, runs } }
  }
}

/** @internal */
export interface HeardSpeed {
  readonly ageMs: number
  readonly sample: EndpointSpeedSample
}
