import fs from 'node:fs/promises'
import path from 'node:path'
import { Effect } from 'effect'
import { StorageErrorKind } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import { fromSystemError, systemErrorCode } from '../errors/fromSystemError'
import { Disk } from './Disk'

/** Opens an existing file for appending; does not create it. */
const APPEND_FLAGS = fs.constants.O_RDWR | fs.constants.O_APPEND

async function writeWhole(handle: fs.FileHandle, bytes: Uint8Array): Promise<void> {
  let done = 0
  while (done < bytes.length) {
    const { bytesWritten } = await handle.write(bytes, done)
    done += bytesWritten
  }
}

/** A folder of the local file system. Files stay open between operations. @public */
export class RealDisk extends Disk {
  private readonly handles = new Map<string, fs.FileHandle>()

  /** @param folder - path of an existing folder */
  constructor(readonly folder: string) {
    super()
  }

  override read(name: string): Effect.Effect<Uint8Array | undefined, StorageError> {
    return this.attempt(name, StorageErrorKind.ReadFailed, async () => {
      try {
        return await fs.readFile(this.pathOf(name))
      } catch (err) {
        if (systemErrorCode(err) === 'ENOENT') return undefined
        throw err
      }
    })
  }

  override list(): Effect.Effect<readonly string[], StorageError> {
    return this.attempt('', StorageErrorKind.ReadFailed, async () => {
      const names = await fs.readdir(this.folder)
      return names.sort()
    })
  }

  override append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return this.attempt(name, StorageErrorKind.WriteFailed, async () => {
      await writeWhole(await this.handleOf(name), bytes)
    })
  }

  override sync(name: string): Effect.Effect<void, StorageError> {
    return this.attempt(name, StorageErrorKind.SyncFailed, async () => {
      // fdatasync flushes data and size; it only skips the access and modification times.
      await (await this.handleOf(name)).datasync()
    })
  }

  override rename(from: string, to: string): Effect.Effect<void, StorageError> {
    return this.attempt(to, StorageErrorKind.WriteFailed, async () => {
      await this.closeOne(from)
      await this.closeOne(to)
      await fs.rename(this.pathOf(from), this.pathOf(to))
    })
  }

  override remove(name: string): Effect.Effect<void, StorageError> {
    return this.attempt(name, StorageErrorKind.WriteFailed, () => this.unlink(name))
  }

  override syncFolder(): Effect.Effect<void, StorageError> {
    return this.attempt('', StorageErrorKind.SyncFailed, async () => {
      const handle = await fs.open(this.folder, 'r')
      try {
        await handle.sync()
      } finally {
        await handle.close()
      }
    })
  }

  override writeNew(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return this.attempt(name, StorageErrorKind.WriteFailed, async () => {
      await this.unlink(name)
      const handle = await fs.open(this.pathOf(name), 'wx+')
      this.handles.set(name, handle)
      await writeWhole(handle, bytes)
    })
  }

  /** Closes all files. The disk can still be used afterwards. */
  close(): Effect.Effect<void> {
    return Effect.promise(async () => {
      const open = [...this.handles.values()]
      this.handles.clear()
      // Acknowledged writes are already synced, so an error on close loses none of them.
      await Promise.allSettled(open.map((handle) => handle.close()))
    })
  }

  private pathOf(name: string): string {
    return path.join(this.folder, name)
  }

  private async handleOf(name: string): Promise<fs.FileHandle> {
    const open = this.handles.get(name)
    if (open !== undefined) return open
    const handle = await fs.open(this.pathOf(name), APPEND_FLAGS)
    this.handles.set(name, handle)
    return handle
  }

  private async closeOne(name: string): Promise<void> {
    const handle = this.handles.get(name)
    this.handles.delete(name)
    await handle?.close()
  }

  private async unlink(name: string): Promise<void> {
    await this.closeOne(name)
    await fs.rm(this.pathOf(name), { force: true })
  }

  private attempt<A>(
    name: string,
    fallback: StorageErrorKind,
    run: () => Promise<A>,
  ): Effect.Effect<A, StorageError> {
    return Effect.tryPromise({
      try: run,
      catch: (err) => fromSystemError(err, this.pathOf(name), fallback),
    })
  }
}
