/** What one run of the soak found. */
export interface SoakVerdict {
  /** What the run did, in a few words. */
  readonly summary: string
  /** Empty when every promise held. */
  readonly violations: readonly string[]
  /** What happened in the run; printed with a violation. */
  readonly details: readonly string[]
  /** Folder that is kept after a violation. */
  readonly folder: string | undefined
}
