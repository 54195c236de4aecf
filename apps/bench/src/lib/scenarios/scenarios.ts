import type { WorkloadOptions } from '@cherryhitch/stand-ins'
import type { BenchSystem } from '../system/BenchSystem'
import {
  DeathScenario,
  FailingScenario,
  LeavingScenario,
  SilentScenario,
  StragglerScenario,
} from './endpointScenarios'
import {
  InstanceCrashScenario,
  PresetChangeScenario,
  RollingShutdownScenario,
  ZoneCutScenario,
} from './instanceScenarios'
import { BurstScenario, CancelWaveScenario, SteadyScenario, faultLoad } from './loadScenarios'
import type { BenchEvent } from './Scenario'
import { Scenario } from './Scenario'

/** Every fault in one run. A rolling shutdown is not among them: it waits for calm by design. */
class AllAtOnceScenario extends Scenario {
  override readonly name = 'all-at-once'
  override readonly description = 'every fault of the other scenarios in one run'

  private readonly parts: readonly Scenario[] = [
    new FailingScenario(),
    new StragglerScenario(),
    new DeathScenario(),
    new LeavingScenario(),
    new SilentScenario(),
    new ZoneCutScenario(),
    new PresetChangeScenario(),
    new InstanceCrashScenario(),
  ]

  override workload(durationMs: number): Partial<WorkloadOptions> {
    const burst = new BurstScenario().workload(durationMs)
    const wave = new CancelWaveScenario().workload(durationMs)
    return { ...faultLoad, ...burst, ...wave }
  }

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    return this.parts.flatMap((part) => part.events(system, durationMs))
  }
}

/** All scenarios, in the order of the results page. */
export const scenarios: readonly Scenario[] = [
  new SteadyScenario(0.3),
  new SteadyScenario(0.6),
  new SteadyScenario(0.9),
  new BurstScenario(),
  new FailingScenario(),
  new StragglerScenario(),
  new DeathScenario(),
  new SilentScenario(),
  new CancelWaveScenario(),
  new LeavingScenario(),
  new ZoneCutScenario(),
  new PresetChangeScenario(),
  new RollingShutdownScenario(),
  new InstanceCrashScenario(),
  new AllAtOnceScenario(),
]
