import type { Mechanism } from '@cherryhitch/model'
import type { DispatchMachine } from '../DispatchMachine'
import type { DispatchOptions } from '../DispatchOptions'
import type { JobAdmission } from '../scheduling/JobAdmission'
import type { QueuePolicy } from '../scheduling/QueuePolicy'
import type { WorldChances } from './OrderCarrier'
import type { LeaderCosts } from './PayingLeader'

/** @internal */
export interface DispatchWorldOptions {
  readonly leaders: number
  readonly endpoints: number
  /** Racks over which the endpoints of the start are spread; one by default. */
  readonly racks?: number
  readonly placesEach: number
  /** Instances that bring orders to endpoints; without any the leaders call them. */
  readonly proxies?: number
  readonly random: () => number
  readonly chances?: Partial<WorldChances>
  readonly order?: QueuePolicy
  readonly admission?: JobAdmission
  readonly without?: readonly Mechanism[]
  /** How long each run takes, in milliseconds, or what tells it of a task at an endpoint; drawn by default. */
  readonly runMs?: number | ((task: string, endpoint: string) => number)
  /** What the leaders' work costs them; their decisions take no time by default. */
  readonly costs?: LeaderCosts
  /**
   * Sends requests without a receipt again to the next process of a leader, as a link must not: to show
   * that this is noticed.
   */
  readonly resendsToNextProcess?: boolean
  /** Whether instances find on their disks what they knew of endpoints when they start again. */
  readonly storesDirectories?: boolean
  /** Whether an endpoint that starts again has the id that it had. */
  readonly keepsIds?: boolean
  /**
   * Has lists that don't tell which life they are of, and notices that name it by its id alone, as an
   * adapter must not: to show that this is noticed.
   */
  readonly takesLivesForOne?: boolean
  /** Whether a task takes down each endpoint that starts it. */
  readonly isFatal?: (task: string) => boolean
  /** Whether endpoints refuse what doesn't fit; they do by default. */
  readonly guardsPlaces?: boolean
  /** Makes the dispatchers, for measurements. */
  readonly makeMachine?: (options: DispatchOptions) => DispatchMachine
}

/** @internal */
export interface SubmitOptions {
  readonly deadlineMs?: number
  /** What the caller believes that each task takes, in milliseconds. */
  readonly estimateMs?: number
  /** Number of its queue, below `QUEUES`: each learns the run times of its own jobs. */
  readonly queue?: number
  /** The tasks ask for no cores and no memory. */
  readonly isWeightless?: boolean
}

/** @internal */
export interface AddedEndpoint {
  readonly address?: string
  /** Its time of day at its start; the time of the run by default. */
  readonly startedAt?: number
  readonly rack?: string
  /** Numbers of the instances that hear of it at first; all by default. */
  readonly knownTo?: readonly number[]
  /** One instance, which is drawn, hears of it at first. */
  readonly isHeardByOne?: boolean
}
