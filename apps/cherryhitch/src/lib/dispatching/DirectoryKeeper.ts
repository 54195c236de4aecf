import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { EndpointNoticesSchema } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { DurableFile, packNewest, unpackNewest } from '@cherryhitch/storage'
import type { Disk, Migration } from '@cherryhitch/storage'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { Directory } from './directoryOf'

const FILE = 'endpoints'
const migrations: readonly Migration[] = []
/** How often it is looked whether endpoints have come or gone, in milliseconds. */
const COMPARE_MS = 1_000
/** Least time between two writes for news, in milliseconds: five syncs of the users' disks. */
const NEWS_GAP_MS = 50
const NOTHING: Directory = { notices: [], lost: [], possible: [] }

/** @internal */
export interface DirectoryKeeperOptions {
  readonly disk: Disk
  /** What is known of endpoints and their losses. */
  readonly known: () => Directory
  /** How often something new of lost endpoints became known. */
  readonly lossChanges: () => number
  readonly log: PartLog
}

/**
 * Keeps on the disk which endpoints were known, and which were lost under which tasks. After a restart
 * of all instances the endpoints announce themselves only within their heartbeat; asked at their old
 * addresses, they take tasks at once. It is a hint only: each of them is asked before it is used.
 *
 * @internal
 */
export class DirectoryKeeper {
  private readonly file: DurableFile
  private stored = ''
  private storedLosses = 0
  private comparedAt = -Infinity
  private storedAt = -Infinity
  private isWriting = false

  constructor(private readonly options: DirectoryKeeperOptions) {
    this.file = new DurableFile(options.disk, FILE)
  }

  /** What was known before the restart; nothing when the file can't be used. */
  read(): Effect.Effect<Directory> {
    return Effect.match(this.file.read(), {
      onSuccess: (bytes) => (bytes === undefined ? NOTHING : this.decode(bytes)),
      onFailure: (err) => {
        this.options.log.warn('the stored directory can not be read', { err })
        return NOTHING
      },
    })
  }

  /** What this instance tells others of lost endpoints is stored at once, in case that all end. */
  noteNews(now: number): void {
    if (now - this.storedAt >= NEWS_GAP_MS) this.tick(now)
  }

  /** Stores the directory when endpoints have come or gone since the last time, or were lost. */
  tick(now: number): void {
    if (this.isWriting) return
    const losses = this.options.lossChanges()
    const hasLosses = losses !== this.storedLosses
    if (!hasLosses && now - this.comparedAt < COMPARE_MS) return
    this.comparedAt = now
    const known = this.options.known()
    const present = namesOf(known.notices)
    if (!hasLosses && (present === this.stored || present === '')) return
    this.stored = present
    this.storedLosses = losses
    this.storedAt = now
    this.store(known)
  }

  private store(known: Directory): void {
    this.isWriting = true
    const written = Effect.match(this.file.write(encode(known)), {
      onSuccess: () => undefined,
      onFailure: (err) => {
        this.options.log.warn('the directory could not be stored', { err })
      },
    })
    Effect.runFork(
      Effect.map(written, () => {
        this.isWriting = false
      }),
    )
  }

  private decode(bytes: Uint8Array): Directory {
    const content = unpackNewest(bytes, migrations, FILE)
    if (content.ok) return fromBinary(EndpointNoticesSchema, content.val)
    this.options.log.warn('the stored directory is damaged', { err: content.val })
    return NOTHING
  }
}

function namesOf(notices: readonly EndpointNotice[]): string {
  return notices
    .map(({ endpoint }) => endpoint)
    .sort()
    .join(' ')
}

function encode({ notices, lost, possible }: Directory): Uint8Array {
  const all = create(EndpointNoticesSchema, { notices: notices.map(forgetAge), lost, possible })
  return packNewest(toBinary(EndpointNoticesSchema, all), migrations)
}

/** How old a notice was when it was stored tells nothing after a restart. */
function forgetAge(notice: EndpointNotice): EndpointNotice {
  return { ...notice, ageMs: 0 }
}
