import type { PlacedEndpoint, WorkloadOptions } from '@cherryhitch/stand-ins'
import { EndpointFault } from '../processes/commands'
import type { BenchSystem } from '../system/BenchSystem'
import { faultLoad } from './loadScenarios'
import type { BenchEvent } from './Scenario'
import { Scenario } from './Scenario'

/** Every n-th endpoint, so that all zones and several racks are hit. */
function everyNth(system: BenchSystem, n: number, offset: number): readonly PlacedEndpoint[] {
  return system.endpoints.filter((_, index) => index % n === offset)
}

function faultAt(
  system: BenchSystem,
  atMs: number,
  endpoint: PlacedEndpoint,
  fault: EndpointFault,
): BenchEvent {
  return {
    atMs,
    name: `${fault} ${endpoint.endpoint}`,
    act: system.fault(endpoint, fault),
  }
}

/** A fault of some endpoints between two moments, given as shares of the run. */
function faultBetween(
  system: BenchSystem,
  endpoints: readonly PlacedEndpoint[],
  fault: EndpointFault,
  fromMs: number,
  toMs: number,
): readonly BenchEvent[] {
  return endpoints.flatMap((endpoint) => [
    faultAt(system, fromMs, endpoint, fault),
    faultAt(system, toMs, endpoint, EndpointFault.None),
  ])
}

/** Scenarios with faults of endpoints run under the same load. */
abstract class EndpointScenario extends Scenario {
  override workload(): Partial<WorkloadOptions> {
    return faultLoad
  }
}

/** Some workers fail every task, at once or after its run time. */
export class FailingScenario extends EndpointScenario {
  override readonly name = 'failing-workers'
  override readonly description = 'one endpoint in 16 fails every task at once, one in 16 slowly'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    const from = durationMs * 0.15
    const to = durationMs * 0.85
    return [
      ...faultBetween(system, everyNth(system, 16, 3), EndpointFault.FailFast, from, to),
      ...faultBetween(system, everyNth(system, 16, 9), EndpointFault.FailSlow, from, to),
    ]
  }
}

/** Some workers run everything eight times slower. */
export class StragglerScenario extends EndpointScenario {
  override readonly name = 'stragglers'
  override readonly description = 'one endpoint in eight is eight times slower'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    const slow = everyNth(system, 8, 5)
    return faultBetween(system, slow, EndpointFault.Straggle, durationMs * 0.15, durationMs * 0.85)
  }
}

/** Workers die, and some hang. */
export class DeathScenario extends EndpointScenario {
  override readonly name = 'deaths'
  override readonly description = 'one endpoint in 12 dies and comes back, one in 16 hangs a while'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    const dying = everyNth(system, 12, 2).flatMap((endpoint, index) => [
      faultAt(system, durationMs * (0.15 + 0.1 * index), endpoint, EndpointFault.Kill),
      faultAt(system, durationMs * (0.5 + 0.1 * index), endpoint, EndpointFault.Restart),
    ])
    const hanging = everyNth(system, 16, 7).flatMap((endpoint) => [
      faultAt(system, durationMs * 0.3, endpoint, EndpointFault.Hang),
      faultAt(system, durationMs * 0.6, endpoint, EndpointFault.None),
    ])
    return [...dying, ...hanging]
  }
}

/** Workers are taken out of service and come back. */
export class LeavingScenario extends EndpointScenario {
  override readonly name = 'leaving'
  override readonly description = 'one endpoint in eight leaves, and starts again later'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    return everyNth(system, 8, 1).flatMap((endpoint, index) => [
      faultAt(system, durationMs * (0.2 + 0.05 * index), endpoint, EndpointFault.Leave),
      faultAt(system, durationMs * (0.7 + 0.05 * index), endpoint, EndpointFault.Restart),
    ])
  }
}

/** Open connections go silent for good while new ones work. */
export class SilentScenario extends EndpointScenario {
  override readonly name = 'silent-connections'
  override readonly description =
    'open connections of one endpoint in six, and of the links between zones, fall silent'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    const silent = everyNth(system, 6, 4).map((endpoint) =>
      faultAt(system, durationMs * 0.25, endpoint, EndpointFault.Silence),
    )
    const [zone = ''] = system.deployment.zones
    const link = { atMs: durationMs * 0.5, name: `silence ${zone}`, act: system.silenceZone(zone) }
    return [...silent, link]
  }
}
