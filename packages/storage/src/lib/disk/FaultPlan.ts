import { StorageErrorKind, storageError } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import { DiskOperation } from './Disk'

/** An operation that is to fail. @public */
export interface DiskFault {
  readonly operation: DiskOperation
  /** Which one of its kind fails, counted from now; 1, the next one, by default. */
  readonly nth?: number
  /** By default what a real disk would answer to this operation. */
  readonly kind?: StorageErrorKind
}

interface PendingFault {
  readonly operation: DiskOperation
  readonly kind: StorageErrorKind
  left: number
}

function usualKind(operation: DiskOperation): StorageErrorKind {
  if (operation === DiskOperation.Sync) return StorageErrorKind.SyncFailed
  if (operation === DiskOperation.SyncFolder) return StorageErrorKind.SyncFailed
  if (operation === DiskOperation.Read) return StorageErrorKind.ReadFailed
  if (operation === DiskOperation.List) return StorageErrorKind.ReadFailed
  return StorageErrorKind.WriteFailed
}

function isChange(operation: DiskOperation): boolean {
  return operation !== DiskOperation.Read && operation !== DiskOperation.List
}

/** Decides which operations of a {@link MemoryDisk} fail. @internal */
export class FaultPlan {
  /** Changes that were asked for since the start. */
  changes = 0
  private pending: PendingFault[] = []
  private changesLeft = Infinity

  add({ operation, nth = 1, kind = usualKind(operation) }: DiskFault): void {
    this.pending.push({ operation, kind, left: nth })
  }

  haltAfter(changes: number): void {
    this.changesLeft = changes
  }

  clear(): void {
    this.pending = []
    this.changesLeft = Infinity
  }

  /** Counts an operation; the error that it ends with, if it is to fail. */
  check(operation: DiskOperation, file: string): StorageError | undefined {
    if (isChange(operation)) {
      this.changes++
      this.changesLeft--
    }
    if (this.changesLeft < 0) {
      return storageError(usualKind(operation), file, `the disk stands still (${operation})`)
    }
    for (const fault of this.pending) if (fault.operation === operation) fault.left--
    const due = this.pending.find((fault) => fault.operation === operation && fault.left === 0)
    if (due === undefined) return undefined
    return storageError(due.kind, file, `injected fault (${operation})`)
  }
}
