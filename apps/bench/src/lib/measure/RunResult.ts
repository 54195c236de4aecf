import type { InvariantReport, MessageCount } from '@cherryhitch/stand-ins'

/** Response time over the ideal. */
export interface RatioSummary {
  readonly mean: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
}

/** What an instance used and counted. */
export interface InstanceUsage {
  readonly instance: string
  /** Processor time over the time of the run, as a share of one core. */
  readonly cores: number
  readonly peakRssMb: number
}

/** One run of a scenario. Counts come from the ledgers of the stand-ins. */
export interface RunResult {
  readonly deployment: string
  readonly scenario: string
  readonly policy: string
  readonly seed: number
  readonly seconds: number
  readonly jobs: number
  readonly answered: number
  /** By outcome and the reason that the caller was given. */
  readonly unanswered: Readonly<Record<string, number>>
  /** Answered in time, of those jobs that their callers did not give up, 0 to 1. */
  readonly answeredShare: number
  readonly tasks: number
  readonly ratio: RatioSummary
  /** Answered jobs per second. */
  readonly goodput: number
  readonly messagesPerTask: number
  readonly wastedPer100Tasks: number
  readonly messages: readonly MessageCount[]
  readonly invariants: InvariantReport
  readonly instances: readonly InstanceUsage[]
  /** What happened, with the time in milliseconds. */
  readonly events: readonly string[]
}
