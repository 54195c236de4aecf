import type { EndpointSpeedSample, RunTimeSample } from '@cherryhitch/policy'
import type { LeaderHints } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import { encodeHints, rowBytes, runTimeRow, speedRow } from './encodeHints'
import { HintRotation } from './HintRotation'
import type { HintCandidate } from './HintRotation'
import { isPlausibleRunTime, isPlausibleSpeed } from './plausibleSamples'

/** Interval of the messages, in milliseconds: a next leader misses what was learnt in it. */
const SEND_INTERVAL_MS = 500
/**
 * Size of a message, at most. Together with the interval it bounds what each peer is sent to 16 KiB
 * a second, which brings the speeds of 300 endpoints, whereas 16 KiB hold only some hundred orders.
 */
export const MAX_HINTS_BYTES = 8_192
/** Encoded size of a message and its envelope apart from the entries, at most. */
const MESSAGE_BYTES = 32

/** Samples of each kind that are looked at for one message, to bound its price. */
const MAX_RANKED = 2_000

interface RunTimeCandidate extends HintCandidate {
  readonly runTime: RunTimeSample
}

interface SpeedCandidate extends HintCandidate {
  readonly speed: EndpointSpeedSample
}

/** Composes the messages in which a leader passes on what it has learnt. @internal */
export class KnowledgeSender {
  private rotation = new HintRotation()
  private dueAt = Infinity
  private messages = 0

  constructor(private readonly core: DispatchCore) {}

  beginTerm(now: number): void {
    this.rotation = new HintRotation()
    this.dueAt = now + SEND_INTERVAL_MS
  }

  /** The next message, if one is due and there is anything to tell. */
  next(now: number): LeaderHints | undefined {
    if (now < this.dueAt) return undefined
    this.dueAt = now + SEND_INTERVAL_MS
    const { estimator, slowness, term = 0 } = this.core
    const candidates = [
      ...this.part(estimator.snapshot(now)).filter(isPlausibleRunTime).map(runTimeCandidate),
      ...this.part(slowness.snapshot(now)).filter(isPlausibleSpeed).map(speedCandidate),
    ]
    this.messages++
    const chosen = this.rotation.choose(now, candidates, MAX_HINTS_BYTES - MESSAGE_BYTES)
    if (chosen.length === 0) return undefined
    this.core.counters.hints_sent += chosen.length
    return encodeHints(term, {
      runTimes: chosen.flatMap((entry) => ('runTime' in entry ? entry.runTime : [])),
      speeds: chosen.flatMap((entry) => ('speed' in entry ? entry.speed : [])),
    })
  }

  /** The samples whose turn it is; all of them unless there are many. */
  private part<T>(samples: readonly T[]): readonly T[] {
    const parts = Math.ceil(samples.length / MAX_RANKED)
    if (parts <= 1) return samples
    const start = (this.messages % parts) * MAX_RANKED
    return samples.slice(start, start + MAX_RANKED)
  }
}

function runTimeCandidate(runTime: RunTimeSample): RunTimeCandidate {
  const { caller, service, absolute, ratio } = runTime
  const key = JSON.stringify([caller ?? null, service])
  const log = absolute.center + ratio.center
  return { key, runs: absolute.count, log, bytes: () => rowBytes(runTimeRow(runTime)), runTime }
}

function speedCandidate(speed: EndpointSpeedSample): SpeedCandidate {
  const { endpoint, runs, logRatio } = speed
  return { key: endpoint, runs, log: logRatio, bytes: () => rowBytes(speedRow(speed)), speed }
}
