import type { WorkloadOptions } from '@cherryhitch/stand-ins'
import { Scenario } from './Scenario'

const PERCENT = 100
const FAULT_LOAD = 0.6

/** Load of the scenarios with faults: room for what a fault takes away. */
export const faultLoad: Partial<WorkloadOptions> = { busyShare: FAULT_LOAD }

/** A steady load without faults. */
export class SteadyScenario extends Scenario {
  override readonly name: string
  override readonly description: string

  constructor(private readonly busyShare: number) {
    super()
    const percent = Math.round(busyShare * PERCENT)
    this.name = `steady-${percent}`
    this.description = `no faults, ${percent} % of the slots busy`
  }

  override workload(): Partial<WorkloadOptions> {
    return { busyShare: this.busyShare }
  }
}

/** Arrivals ten times as fast, without warning. */
export class BurstScenario extends Scenario {
  override readonly name = 'burst'
  override readonly description = 'arrivals ten times as fast for a tenth of the run'

  override workload(durationMs: number): Partial<WorkloadOptions> {
    const everyMs = durationMs / 2
    return { ...faultLoad, burst: { everyMs, lengthMs: durationMs / 20, factor: 10 } }
  }
}

/** Callers give up many jobs at once. */
export class CancelWaveScenario extends Scenario {
  override readonly name = 'cancellation-wave'
  override readonly description = 'twice, half of the jobs under way are given up at once'

  override workload(durationMs: number): Partial<WorkloadOptions> {
    const everyMs = durationMs / 3
    return { ...faultLoad, cancelWaves: { everyMs, share: 0.5, reachMs: 2000 } }
  }
}
