import type { Mechanism } from '@cherryhitch/model'
import type { DispatchMachine } from '../DispatchMachine'
import type { DispatchOptions } from '../DispatchOptions'
import type { JobAdmission } from '../scheduling/JobAdmission'
import type { QueuePolicy } from '../scheduling/QueuePolicy'
import type { WorldChances } from './OrderTransport'
import type { LeaderCosts } from './PayingLeader'
import type { SimulatedZonesOptions } from './SimulatedZones'
import type { DrainFault } from './ZoneDrains'

/** @internal */
export interface DispatchSimulationOptions {
  readonly leaders: number
  readonly endpoints: number
  /** Number of racks over which the initial endpoints are spread; one by default. */
  readonly racks?: number
  readonly placesEach: number
  /** Number of instances that forward orders; with none, the leaders call the endpoints. */
  readonly proxies?: number
  readonly random: () => number
  readonly chances?: Partial<WorldChances>
  readonly order?: QueuePolicy
  readonly admission?: JobAdmission
  /** Priority of each queue; 0, the most urgent, by default. */
  readonly priorities?: readonly number[]
  readonly without?: readonly Mechanism[]
  /** What callers promise to the dispatchers; see `DispatchTiming`. */
  readonly resubmitDelayMs?: number
  /** Duration of a run in milliseconds, or a function that returns it; random by default. */
  readonly runMs?: number | ((task: string, endpoint: string) => number)
  /** Processor time of the leaders' work; their decisions take no time by default. */
  readonly costs?: LeaderCosts
  /**
   * Resends unacknowledged requests to the next process of a leader, as a link must not, to test
   * that the checks detect it.
   */
  readonly resendsToNextProcess?: boolean
  /** Whether instances read their directory of endpoints from disk when they restart. */
  readonly storesDirectories?: boolean
  /** Whether an endpoint keeps its id when it restarts. */
  readonly keepsIds?: boolean
  /**
   * Omits the incarnation from the lists of runs, and names endpoints by their id alone in notices,
   * as an adapter must not, to test that the checks detect it.
   */
  readonly takesLivesForOne?: boolean
  /** Whether a task crashes every endpoint that starts it. */
  readonly isFatal?: (task: string) => boolean
  /** Whether endpoints refuse tasks beyond their slots; they do by default. */
  readonly guardsPlaces?: boolean
  /** How the drains of zones are handled wrongly; correctly by default. */
  readonly drainFault?: DrainFault
  /** Entries in each zone, and cuts between zones; a single entry by default. */
  readonly zones?: SimulatedZonesOptions
  /** Creates the dispatchers, for measurements. */
  readonly makeMachine?: (options: DispatchOptions) => DispatchMachine
}

/** @internal */
export interface SubmitOptions {
  readonly deadlineMs?: number
  /** The caller's estimate of the run time of each task, in milliseconds. */
  readonly estimateMs?: number
  /** Index of its queue, below `QUEUES`: each learns the run times of its own jobs. */
  readonly queue?: number
  /** The entry that gets the job; the first by default. */
  readonly entry?: string
  /** Whether the tasks request no cores and no memory. */
  readonly isWeightless?: boolean
}

/** @internal */
export interface AddedEndpoint {
  readonly address?: string
  /** Start time by the endpoint's wall clock; the simulated time by default. */
  readonly startedAt?: number
  readonly rack?: string
  /** One of `SIMULATED_ZONES` by default, in turn. */
  readonly zone?: string
  /** Indexes of the instances that it is first announced to; all by default. */
  readonly knownTo?: readonly number[]
  /** Whether it is first announced to one random instance only. */
  readonly isHeardByOne?: boolean
}
