/** State reported to liveness and readiness probes. @public */
export interface HealthSource {
  /** False if the process should be restarted. */
  isAlive(): boolean
  /** False if the instance should receive no new requests. */
  isReady(): boolean
}
