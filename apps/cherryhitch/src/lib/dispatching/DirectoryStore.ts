import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { EndpointNoticesSchema } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { DurableFile, packNewest, unpackNewest } from '@cherryhitch/storage'
import type { Disk, Migration } from '@cherryhitch/storage'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { EndpointDirectory } from './endpointDirectoryOf'

const FILE = 'endpoints'
const migrations: readonly Migration[] = []
/** How often the set of known endpoints is compared with the stored one. */
const COMPARE_INTERVAL_MS = 1_000
/** Minimum time between two writes that record losses: five disk syncs of 10 ms. */
const MIN_LOSS_WRITE_INTERVAL_MS = 50
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
  private readonly file: DurableFile
  private storedEndpointIds = ''
  private storedLossChanges = 0
  private comparedAt = -Infinity
  private storedAt = -Infinity
  private isWriting = false

  constructor(private readonly options: DirectoryStoreOptions) {
    this.file = new DurableFile(options.disk, FILE)
  }

  /** The directory stored before the restart; empty if the file is missing or unusable. */
  read(): Effect.Effect<EndpointDirectory> {
    return Effect.match(this.file.read(), {
      onSuccess: (bytes) => (bytes === undefined ? EMPTY_DIRECTORY : this.decode(bytes)),
      onFailure: (err) => {
        this.options.log.warn('cannot read the stored endpoint directory', { err })
        return EMPTY_DIRECTORY
      },
    })
  }

  /** Stores losses as soon as they are broadcast, in case all instances stop. */
  onLossUpdate(now: number): void {
    if (now - this.storedAt >= MIN_LOSS_WRITE_INTERVAL_MS) this.tick(now)
  }

  /** Stores the directory if endpoints were added, removed or lost since the last write. */
  tick(now: number): void {
    if (this.isWriting) return
    const lossChanges = this.options.lossChanges()
    const hasNewLosses = lossChanges !== this.storedLossChanges
    if (!hasNewLosses && now - this.comparedAt < COMPARE_INTERVAL_MS) return
    this.comparedAt = now
    const directory = this.options.currentDirectory()
    const endpointIds = joinEndpointIds(directory.notices)
    if (!hasNewLosses && (endpointIds === this.storedEndpointIds || endpointIds === '')) return
    this.storedEndpointIds = endpointIds
    this.storedLossChanges = lossChanges
    this.storedAt = now
    this.store(directory)
  }

  private store(directory: EndpointDirectory): void {
    this.isWriting = true
    const written = Effect.match(this.file.write(encode(directory)), {
      onSuccess: () => undefined,
      onFailure: (err) => {
        this.options.log.warn('failed to store the endpoint directory', { err })
      },
    })
    Effect.runFork(
      Effect.map(written, () => {
        this.isWriting = false
      }),
    )
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
