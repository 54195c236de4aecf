import { Data } from 'effect'

/** Category of a storage failure. @public */
export enum StorageErrorKind {
  DiskFull = 'disk_full',
  SyncFailed = 'sync_failed',
  ReadFailed = 'read_failed',
  WriteFailed = 'write_failed',
  NotPermitted = 'not_permitted',
  /** Stored bytes differ from those that were written. */
  Damaged = 'damaged',
  /** Another process uses the data folder. */
  Locked = 'locked',
  /** Written by a newer version of the program. */
  TooNew = 'too_new',
  /** Not attempted because an earlier operation failed. */
  Stopped = 'stopped',
  /** The call itself is invalid, which is a bug in the program. */
  Misused = 'misused',
}

const adviceByKind: Readonly<Record<StorageErrorKind, string>> = {
  [StorageErrorKind.DiskFull]: 'Free space on the disk of the data folder, then restart.',
  [StorageErrorKind.SyncFailed]:
    'The disk did not confirm a write. Check the disk and the kernel log, then restart; replace the disk if it happens again.',
  [StorageErrorKind.ReadFailed]: 'Check the disk and the kernel log, then restart.',
  [StorageErrorKind.WriteFailed]: 'Check the disk and the kernel log, then restart.',
  [StorageErrorKind.NotPermitted]:
    'Give the user of this process the right to read and write the data folder, then restart.',
  [StorageErrorKind.Damaged]:
    'Do not edit or delete single files. Move the whole data folder away and add this instance again as a new voter; the other voters hold the state.',
  [StorageErrorKind.Locked]:
    'Stop the other process, or give this one a data folder of its own in its settings.',
  [StorageErrorKind.TooNew]:
    'Start the newer version of the program again; an older one cannot read this data folder.',
  [StorageErrorKind.Stopped]:
    'Look for the first storage error in the log of this process, mend its cause, then restart.',
  [StorageErrorKind.Misused]: 'Report this message as a fault of the program.',
}

/** Failures after which the same operation may succeed, without anyone changing the folder. */
const transientKinds: ReadonlySet<StorageErrorKind> = new Set([
  StorageErrorKind.DiskFull,
  StorageErrorKind.SyncFailed,
  StorageErrorKind.ReadFailed,
  StorageErrorKind.WriteFailed,
])

/** The only error type of this package: kind, file, failure and advice to the operator. @public */
export class StorageError extends Data.TaggedError('StorageError')<{
  readonly kind: StorageErrorKind
  /** File or folder name, as the disk reports it. */
  readonly file: string
  /** Description of the failure, as a clause without a full stop. */
  readonly detail: string
  /** The underlying error, if there was one. */
  readonly cause?: unknown
}> {
  /** Advice for the operator. */
  get advice(): string {
    return adviceByKind[this.kind]
  }

  /** True if the failure may pass by itself, as that of a full disk does once it has room. */
  get isTransient(): boolean {
    return transientKinds.has(this.kind)
  }

  override get message(): string {
    return `${this.file}: ${this.detail}. ${this.advice}`
  }
}

/** Creates a {@link StorageError} without a cause. @internal */
export function storageError(kind: StorageErrorKind, file: string, detail: string): StorageError {
  return new StorageError({ kind, file, detail })
}
