import { EndpointHealth, HealthState } from './EndpointHealth'

/** Baseline: never ejects. @public */
export class AlwaysHealthy extends EndpointHealth {
  override add(): void {
    // Nothing is kept.
  }

  override remove(): void {
    // Nothing is kept.
  }

  override recordSuccess(): void {
    // Nothing is kept.
  }

  override recordFailure(): void {
    // Nothing is kept.
  }

  override state(): HealthState {
    return HealthState.Healthy
  }
}
