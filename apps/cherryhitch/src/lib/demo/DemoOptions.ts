/** How much work the demo does. @public */
export interface DemoOptions {
  /** Jobs of 100 tasks, one after the other on an idle system. */
  readonly wideJobs: number
  /** Jobs of one short task, one after the other, to measure the cost of a hop. */
  readonly shortJobs: number
  /** Length of the mixed load, in milliseconds. */
  readonly loadMs: number
  /** Share of the slots that the mixed load keeps busy, 0 to 1. */
  readonly busyShare: number
  readonly seed: number
}

/** @public */
export const defaultDemoOptions: DemoOptions = {
  wideJobs: 15,
  shortJobs: 150,
  loadMs: 8000,
  busyShare: 0.3,
  seed: 1,
}
