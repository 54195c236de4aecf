import type { HealthSource } from '@cherryhitch/http-api'

/** Phase of an instance's lifecycle. @public */
export enum InstancePhase {
  Starting = 'starting',
  Serving = 'serving',
  /** Readiness is off; the load balancer may not have seen it yet, so work is still accepted. */
  Announcing = 'announcing',
  Draining = 'draining',
  Stopped = 'stopped',
  /** A part has failed with an unexpected error; the process should be restarted. */
  Broken = 'broken',
}

/** Answers the platform's liveness and readiness checks. @internal */
export class Readiness implements HealthSource {
  private phase = InstancePhase.Starting

  get current(): InstancePhase {
    return this.phase
  }

  enter(phase: InstancePhase): void {
    if (this.phase !== InstancePhase.Broken) this.phase = phase
  }

  isAlive(): boolean {
    return this.phase !== InstancePhase.Broken
  }

  isReady(): boolean {
    return this.phase === InstancePhase.Serving
  }
}
