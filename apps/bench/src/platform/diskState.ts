/** How a disk behaves; the parent process of an instance sets it. */
export interface DiskState {
  /** Writes fail for want of room. */
  readonly isFull: boolean
  /** All operations wait until the disk is no longer stalled. */
  readonly isStalled: boolean
  readonly failsSyncs: boolean
  /** Duration of a sync, in milliseconds. */
  readonly syncMs: number
}

export const soundDisk: DiskState = {
  isFull: false,
  isStalled: false,
  failsSyncs: false,
  syncMs: 5,
}
