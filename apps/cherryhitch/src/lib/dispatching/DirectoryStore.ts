import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { EndpointNoticesSchema } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { DurableFile, packNewest, unpackNewest } from '@cherryhitch/storage'
import type { Disk, Migration, StorageError } from '@cherryhitch/storage'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect, Schedule } from 'effect'
import type { EndpointDirectory } from './endpointDirectoryOf'

const FILE = 'endpoints'
const migrations: readonly Migration[] = []
/** How often the set of known endpoints is compared with the stored one. */
const COMPARE_INTERVAL_MS = 1_000
/** Minimum time between two writes that record losses: five disk syncs of 10 ms. */
const MIN_LOSS_WRITE_INTERVAL_MS = 50
/** Time between two attempts to write or read on a disk that fails. */
const RETRY_INTERVAL_MS = 500
const EMPTY_DIRECTORY: EndpointDirectory = { notices: [], lost: [], possible: [] }

/** @internal */
export interface DirectoryStoreOptions {
  readonly disk: Disk
  /** The known endpoints and their losses. */
  readonly currentDirectory: () => EndpointDirectory
  /** Number of changes to the known losses of endpoints so far. */
  readonly lossChanges: () => number
  readonly log: PartLog
}

/**
 * Stores the known endpoints on disk, and which endpoints were lost while running which tasks.
 *
 * After a restart of all instances, endpoints announce themselves only with their next heartbeat.
 * Contacted at their stored addresses, they can take tasks at once. The stored directory is only a
 * hint: each endpoint is contacted before it is used.
 *
 * @internal
 */
export class DirectoryStore {
  private storedEndpointIds = ''
  private storedLossChanges = 0
  private comparedAt = -Infinity
  private storedAt = -Infinity
  private isWriting = false
  private isReading = false
  private hasFailed = false
  private retryAt = -Infinity

  constructor(private readonly options: DirectoryStoreOptions) {}

  /**
   * The directory stored before the restart; empty if the file is missing or damaged. While the disk
   * fails, the read is repeated, and nothing replaces the file before it has succeeded.
   */
  read(): Effect.Effect<EndpointDirectory> {
    return Effect.gen({ self: this }, function* () {
      this.isReading = true
      const attempt = Effect.suspend(() => this.openFile().read())
      const repeated = Effect.retry(
        Effect.tapError(attempt, (err) =>
          Effect.sync(() => {
            this.reportFailure('cannot read the stored endpoint directory', err)
          }),
        ),
        { while: (err) => err.isTransient, schedule: Schedule.spaced(RETRY_INTERVAL_MS) },
      )
      const directory = yield* Effect.match(repeated, {
        onSuccess: (bytes) => {
          this.reportSuccess()
          return bytes === undefined ? EMPTY_DIRECTORY : this.decode(bytes)
        },
        onFailure: () => EMPTY_DIRECTORY,
      })
      this.isReading = false
      return directory
    })
  }

  /** Stores losses as soon as they are broadcast, in case all instances stop. */
  onLossUpdate(now: number): void {
    if (now - this.storedAt >= MIN_LOSS_WRITE_INTERVAL_MS) this.tick(now)
  }

  /** Stores the directory if endpoints were added, removed or lost since the last write. */
  tick(now: number): void {
    if (this.isWriting || this.isReading || now < this.retryAt) return
    const lossChanges = this.options.lossChanges()
    const hasNewLosses = lossChanges !== this.storedLossChanges
    if (!hasNewLosses && now - this.comparedAt < COMPARE_INTERVAL_MS) return
    this.comparedAt = now
    const directory = this.options.currentDirectory()
    const endpointIds = joinEndpointIds(directory.notices)
    if (!hasNewLosses && (endpointIds === this.storedEndpointIds || endpointIds === '')) return
    this.storedAt = now
    this.store(now, directory, () => {
      this.storedEndpointIds = endpointIds
      this.storedLossChanges = lossChanges
    })
  }

  private store(now: number, directory: EndpointDirectory, onStored: () => void): void {
    this.isWriting = true
    const written = Effect.match(this.openFile().write(encode(directory)), {
      onSuccess: () => {
        this.reportSuccess()
        onStored()
      },
      onFailure: (err) => {
        this.retryAt = now + RETRY_INTERVAL_MS
        this.reportFailure('failed to store the endpoint directory', err)
      },
    })
    Effect.runFork(
      Effect.map(written, () => {
        this.isWriting = false
      }),
    )
  }

  /** A new object for each operation, since a file rejects all after one that failed. */
  private openFile(): DurableFile {
    return new DurableFile(this.options.disk, FILE)
  }

  /** Logs the first of the failures in a row, as each operation is repeated. */
  private reportFailure(message: string, err: StorageError): void {
    if (!this.hasFailed) this.options.log.warn(message, { err })
    this.hasFailed = true
  }

  private reportSuccess(): void {
    if (this.hasFailed) this.options.log.info('the endpoint directory is accessible again')
    this.hasFailed = false
  }

  private decode(bytes: Uint8Array): EndpointDirectory {
    const content = unpackNewest(bytes, migrations, FILE)
    if (content.ok) return fromBinary(EndpointNoticesSchema, content.val)
    this.options.log.warn('the stored endpoint directory is corrupt', { err: content.val })
    return EMPTY_DIRECTORY
  }
}

function joinEndpointIds(notices: readonly EndpointNotice[]): string {
  return notices
    .map(({ endpoint }) => endpoint)
    .sort()
    .join(' ')
}

function encode({ notices, lost, possible }: EndpointDirectory): Uint8Array {
  const all = create(EndpointNoticesSchema, { notices: notices.map(withoutAge), lost, possible })
  return packNewest(toBinary(EndpointNoticesSchema, all), migrations)
}

/** Clears the age of a stored notice, which is meaningless after a restart. */
function withoutAge(notice: EndpointNotice): EndpointNotice {
  return { ...notice, ageMs: 0 }
}
