/** A configuration that the operator sent; times are milliseconds of the run. */
export interface SentConfig {
  readonly version: number
  readonly body: string
  /** Services by the prefix of their route. */
  readonly routes: ReadonlyMap<string, string>
  readonly sentAtMs: number
  ackedAtMs: number | undefined
}

/** What must never be read back or acted on. */
export interface ForbiddenConfig {
  readonly version: number
  /** Prefix of a route that is in no valid configuration. */
  readonly prefix: string
  readonly body: string
}

/** The highest version acknowledged by the time; 0 if none was. */
export function newestAcked(sent: Iterable<SentConfig>, byMs: number): number {
  let newest = 0
  for (const { version, ackedAtMs } of sent) {
    if (ackedAtMs !== undefined && ackedAtMs <= byMs) newest = Math.max(newest, version)
  }
  return newest
}
