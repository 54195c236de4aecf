/** Answers the platform's probes. @public */
export interface HealthSource {
  /** False: restart the process. */
  isAlive(): boolean
  /** False: send no new requests here. */
  isReady(): boolean
}
