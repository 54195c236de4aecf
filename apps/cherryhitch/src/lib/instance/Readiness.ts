import type { HealthSource } from '@cherryhitch/http-api'

/** Where an instance stands between its start and its end. @public */
export enum InstancePhase {
  Starting = 'starting',
  Serving = 'serving',
  /** Readiness is off; the balancer has not seen it yet, so work is still taken. */
  Announcing = 'announcing',
  Draining = 'draining',
  Stopped = 'stopped',
  /** A part has died of a defect; the process should be restarted. */
  Broken = 'broken',
}

/** Answers the platform's health checks. @internal */
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
