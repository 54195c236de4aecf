/** Answers the platform's probes. @public */
export abstract class HealthSource {
  /** False: restart the process. */
  abstract isAlive(): boolean
  /** False: send no new requests here. */
  abstract isReady(): boolean
}
