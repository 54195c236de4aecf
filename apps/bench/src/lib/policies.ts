/** Policies that the bench can set side by side: each is a preset of its own. */

/** The fields of a preset as the operator interface takes them. */
export interface PresetBody {
  readonly description: string
  readonly jobsInFlightPerInstance: number
  readonly queuedTasksPerSlot: number
  readonly callerQueueShare: number
  readonly retryBudget: number
  readonly spillMarginMs: number
  readonly queueOrder: 'fifo' | 'deadline_fair'
  readonly placementRule: 'random' | 'spread_fast'
  readonly healthRule: 'none' | 'consecutive' | 'decayed_score'
  readonly admissionRule: 'queue_limit' | 'predicted_finish'
  readonly ownerShards: number
}

/** The shipped preset that every system starts with. */
export const ORDINARY = 'ordinary'

const full: PresetBody = {
  description: 'bench: as ordinary',
  jobsInFlightPerInstance: 2000,
  queuedTasksPerSlot: 20,
  callerQueueShare: 0.5,
  retryBudget: 0.1,
  spillMarginMs: 3,
  queueOrder: 'deadline_fair',
  placementRule: 'spread_fast',
  healthRule: 'consecutive',
  admissionRule: 'predicted_finish',
  ownerShards: 1,
}

/** By name; `ordinary` is not defined here because it ships. */
export const policies: Readonly<Record<string, PresetBody>> = {
  baseline: {
    ...full,
    description: 'bench: all plain baselines',
    queueOrder: 'fifo',
    placementRule: 'random',
    healthRule: 'none',
    admissionRule: 'queue_limit',
  },
  'fifo-order': { ...full, description: 'bench: first come, first served', queueOrder: 'fifo' },
  'random-placement': { ...full, description: 'bench: any endpoint', placementRule: 'random' },
  'no-ejection': { ...full, description: 'bench: endpoints are never ejected', healthRule: 'none' },
  'decayed-score': { ...full, description: 'bench: decayed score', healthRule: 'decayed_score' },
  consecutive: { ...full, description: 'bench: consecutive failures' },
  'queue-limit': { ...full, description: 'bench: no prediction', admissionRule: 'queue_limit' },
  'four-shards': { ...full, description: 'bench: four owners a zone', ownerShards: 4 },
}
