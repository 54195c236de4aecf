import { Effect } from 'effect'
import type { StorageError } from '../errors/StorageError'
import { Disk } from './Disk'

/** Wraps a disk and delays its syncs, to measure commits at users' sync latency. @public */
export class SlowDisk extends Disk {
  /** @param syncDelayMs - added to each sync of a file or of the folder, in milliseconds */
  constructor(
    private readonly inner: Disk,
    public syncDelayMs: number,
  ) {
    super()
  }

  override read(name: string): Effect.Effect<Uint8Array | undefined, StorageError> {
    return this.inner.read(name)
  }

  override list(): Effect.Effect<readonly string[], StorageError> {
    return this.inner.list()
  }

  override append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return this.inner.append(name, bytes)
  }

  override sync(name: string): Effect.Effect<void, StorageError> {
    return this.delayed(this.inner.sync(name))
  }

  override rename(from: string, to: string): Effect.Effect<void, StorageError> {
    return this.inner.rename(from, to)
  }

  override remove(name: string): Effect.Effect<void, StorageError> {
    return this.inner.remove(name)
  }

  override syncFolder(): Effect.Effect<void, StorageError> {
    return this.delayed(this.inner.syncFolder())
  }

  override writeNew(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return this.inner.writeNew(name, bytes)
  }

  private delayed(sync: Effect.Effect<void, StorageError>): Effect.Effect<void, StorageError> {
    return Effect.andThen(sync, Effect.sleep(this.syncDelayMs))
  }
}
