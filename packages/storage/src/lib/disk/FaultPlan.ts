import { StorageErrorKind, storageError } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import { DiskOperation } from './Disk'

/** An injected failure of one operation. @public */
export interface DiskFault {
  readonly operation: DiskOperation
  /** Which operation of this type fails, counted from now; defaults to 1, the next one. */
  readonly nth?: number
  /** Defaults to the kind of error that a real disk reports for this operation. */
  readonly kind?: StorageErrorKind
}

interface PendingFault {
  readonly operation: DiskOperation
  readonly kind: StorageErrorKind
  left: number
}

function defaultKindOf(operation: DiskOperation): StorageErrorKind {
  if (operation === DiskOperation.Sync) return StorageErrorKind.SyncFailed
  if (operation === DiskOperation.SyncFolder) return StorageErrorKind.SyncFailed
  if (operation === DiskOperation.Read) return StorageErrorKind.ReadFailed
  if (operation === DiskOperation.List) return StorageErrorKind.ReadFailed
  return StorageErrorKind.WriteFailed
}

function isMutation(operation: DiskOperation): boolean {
  return operation !== DiskOperation.Read && operation !== DiskOperation.List
}

/** Decides which operations of a {@link MemoryDisk} fail. @internal */
export class FaultPlan {
  /** Mutating operations requested since creation, including failed ones. */
  changes = 0
  private pending: PendingFault[] = []
  private changesLeft = Infinity

  add({ operation, nth = 1, kind = defaultKindOf(operation) }: DiskFault): void {
    this.pending.push({ operation, kind, left: nth })
  }

  haltAfter(changes: number): void {
    this.changesLeft = changes
  }

  clear(): void {
    this.pending = []
    this.changesLeft = Infinity
  }

  /** Counts an operation; returns its error if the operation is to fail. */
  check(operation: DiskOperation, file: string): StorageError | undefined {
    if (isMutation(operation)) {
      this.changes++
      this.changesLeft--
    }
    if (this.changesLeft < 0) {
      return storageError(defaultKindOf(operation), file, `the disk is halted (${operation})`)
    }
    for (const fault of this.pending) if (fault.operation === operation) fault.left--
    const due = this.pending.find((fault) => fault.operation === operation && fault.left === 0)
    if (due === undefined) return undefined
    return storageError(due.kind, file, `injected fault (${operation})`)
  }
}
