import type { WorkloadOptions } from '@cherryhitch/stand-ins'
import type { Effect } from 'effect'
import type { BenchSystem } from '../system/BenchSystem'

/** Something that happens to the system during a run. */
export interface BenchEvent {
  /** Milliseconds from the start of the load. */
  readonly atMs: number
  /** For the report, such as "kill w3". */
  readonly name: string
  readonly act: Effect.Effect<void>
}

/** What is done to the system, and under which load. */
export abstract class Scenario {
  abstract readonly name: string
  /** One sentence for the report. */
  abstract readonly description: string

  /** Settings of the load that differ from those of an ordinary day. */
  workload(_durationMs: number): Partial<WorkloadOptions> {
    return {}
  }

  /** What happens, in any order. */
  events(_system: BenchSystem, _durationMs: number): readonly BenchEvent[] {
    return []
  }
}
