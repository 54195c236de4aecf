import fs from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Disk, RealDisk, StorageError, StorageErrorKind } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { soundDisk } from './diskState'
import { shadowFolderOf } from './shadowFolderOf'

/** A file as the process sees it, and what is still missing on the disk below. */
interface ShadowFile {
  /** Its name in the shadow folder; undefined until it was synced. */
  durableName: string | undefined
  pending: Uint8Array[]
}

interface NameChange {
  readonly file: ShadowFile
  /** Undefined if the file was removed. */
  readonly to: string | undefined
}

const STALL_POLL_MS = 5

/**
 * A data folder with a second folder that holds only what was synced, so that the parent can let
 * the unsynced rest be lost. It fails and waits as its state says.
 */
export class ShadowDisk extends Disk {
  state = soundDisk
  private readonly live: RealDisk
  private readonly shadowFolder: string
  private readonly files = new Map<string, ShadowFile>()
  private changes: NameChange[] = []

  constructor(folder: string) {
    super()
    this.live = new RealDisk(folder)
    this.shadowFolder = shadowFolderOf(folder)
    fs.mkdirSync(this.shadowFolder, { recursive: true })
    for (const name of fs.readdirSync(folder)) {
      this.files.set(name, this.compare(name, fs.readFileSync(path.join(folder, name))))
    }
    const gone = fs.readdirSync(this.shadowFolder).filter((name) => !this.files.has(name))
    for (const name of gone) {
      this.changes.push({ file: { durableName: name, pending: [] }, to: undefined })
    }
  }

  override read(name: string): Effect.Effect<Uint8Array | undefined, StorageError> {
    return this.attempt(() => this.live.read(name))
  }

  override list(): Effect.Effect<readonly string[], StorageError> {
    return this.attempt(() => this.live.list())
  }

  override append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return this.attempt(() => this.write(name, bytes, this.live.append(name, this.fitting(bytes))))
  }

  override writeNew(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    return this.attempt(() => {
      this.files.set(name, { durableName: undefined, pending: [] })
      return this.write(name, bytes, this.live.writeNew(name, this.fitting(bytes)))
    })
  }

  override sync(name: string): Effect.Effect<void, StorageError> {
    return this.attempt(() => {
      const file = this.files.get(name)
      const count = file?.pending.length ?? 0
      return this.afterSync(name, () => {
        if (file !== undefined) this.persist(name, file, count)
      })
    })
  }

  override rename(from: string, to: string): Effect.Effect<void, StorageError> {
    return this.attempt(() =>
      Effect.map(this.live.rename(from, to), () => {
        const file = this.files.get(from)
        if (file === undefined) return
        this.files.delete(from)
        this.files.set(to, file)
        this.changes.push({ file, to })
      }),
    )
  }

  override remove(name: string): Effect.Effect<void, StorageError> {
    return this.attempt(() =>
      Effect.map(this.live.remove(name), () => {
        const file = this.files.get(name)
        if (file === undefined) return
        this.files.delete(name)
        this.changes.push({ file, to: undefined })
      }),
    )
  }

  override syncFolder(): Effect.Effect<void, StorageError> {
    return this.attempt(() => {
      const count = this.changes.length
      return this.afterSync('', () => {
        for (const change of this.changes.splice(0, count)) this.applyName(change)
      })
    })
  }

  private attempt<A>(run: () => Effect.Effect<A, StorageError>): Effect.Effect<A, StorageError> {
    const untilFree = Effect.promise(async () => {
      while (this.state.isStalled) await sleep(STALL_POLL_MS)
    })
    return Effect.andThen(untilFree, Effect.suspend(run))
  }

  /** A full disk takes a part of a write. */
  private fitting(bytes: Uint8Array): Uint8Array {
    return this.state.isFull ? bytes.subarray(0, bytes.length >> 1) : bytes
  }

  private write(
    name: string,
    bytes: Uint8Array,
    writing: Effect.Effect<void, StorageError>,
  ): Effect.Effect<void, StorageError> {
    const { isFull } = this.state
    const fitting = Uint8Array.from(this.fitting(bytes))
    return Effect.flatMap(writing, () => {
      this.files.get(name)?.pending.push(fitting)
      return isFull ? fail(StorageErrorKind.DiskFull, name, 'no space left') : Effect.void
    })
  }

  private afterSync(name: string, done: () => void): Effect.Effect<void, StorageError> {
    const settle = this.attempt(() => {
      if (this.state.failsSyncs) return fail(StorageErrorKind.SyncFailed, name, 'the sync failed')
      done()
      return Effect.void
    })
    return Effect.delay(settle, this.state.syncMs)
  }

  private persist(name: string, file: ShadowFile, count: number): void {
    const bytes = Buffer.concat(file.pending.splice(0, count))
    if (file.durableName === undefined) {
      file.durableName = name
      fs.writeFileSync(path.join(this.shadowFolder, name), bytes)
      return
    }
    fs.appendFileSync(path.join(this.shadowFolder, file.durableName), bytes)
  }

  private applyName({ file, to }: NameChange): void {
    const from = file.durableName
    if (from === undefined) return
    const source = path.join(this.shadowFolder, from)
    if (to === undefined) {
      fs.rmSync(source, { force: true })
      return
    }
    if (from !== to && fs.existsSync(source))
      fs.renameSync(source, path.join(this.shadowFolder, to))
    file.durableName = to
  }

  /** What a process that was killed left unsynced is still so. */
  private compare(name: string, content: Buffer): ShadowFile {
    const source = path.join(this.shadowFolder, name)
    const synced = fs.existsSync(source) ? fs.readFileSync(source) : undefined
    const isPrefix = synced?.equals(content.subarray(0, synced.length)) === true
    if (synced === undefined || !isPrefix) return { durableName: undefined, pending: [content] }
    const rest = content.subarray(synced.length)
    return { durableName: name, pending: rest.length > 0 ? [rest] : [] }
  }
}

function fail(
  kind: StorageErrorKind,
  file: string,
  detail: string,
): Effect.Effect<never, StorageError> {
  return Effect.fail(new StorageError({ kind, file, detail }))
}
