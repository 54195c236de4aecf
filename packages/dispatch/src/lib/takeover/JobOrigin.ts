/** What a leader knows of a job that it gets for the first time. @internal */
export enum JobOrigin {
  /** No earlier leader can be running it. */
  New = 'new',
  /** An earlier leader had it and may be running it. */
  Earlier = 'earlier',
  /** It can't be told until the runs of all endpoints are known. */
  Unknown = 'unknown',
}
