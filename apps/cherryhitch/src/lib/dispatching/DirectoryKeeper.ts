import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { EndpointNoticesSchema } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { DurableFile, packNewest, unpackNewest } from '@cherryhitch/storage'
import type { Disk, Migration } from '@cherryhitch/storage'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'

const FILE = 'endpoints'
const migrations: readonly Migration[] = []

/** @internal */
export interface DirectoryKeeperOptions {
  readonly disk: Disk
  readonly notices: () => readonly EndpointNotice[]
  readonly log: PartLog
}

/**
 * Keeps on the disk which endpoints were known. After a restart of all instances the endpoints
 * announce themselves only within their heartbeat; asked at their old addresses, they take
 * tasks at once. It is a hint only: each of them is asked before it is used.
 *
 * @internal
 */
export class DirectoryKeeper {
  private readonly file: DurableFile
  private stored = ''
  private isWriting = false

  constructor(private readonly options: DirectoryKeeperOptions) {
    this.file = new DurableFile(options.disk, FILE)
  }

  /** The endpoints that were known before the restart; none when the file can't be used. */
  read(): Effect.Effect<readonly EndpointNotice[]> {
    return Effect.match(this.file.read(), {
      onSuccess: (bytes) => (bytes === undefined ? [] : this.decode(bytes)),
      onFailure: (err) => {
        this.options.log.warn('the stored directory can not be read', { err })
        return []
      },
    })
  }

  /** Stores the directory when endpoints have come or gone since the last time. */
  tick(): void {
    if (this.isWriting) return
    const notices = this.options.notices()
    const present = notices
      .map(({ endpoint }) => endpoint)
      .sort()
      .join(' ')
    if (present === this.stored || notices.length === 0) return
    this.stored = present
    this.isWriting = true
    const written = Effect.match(this.file.write(encode(notices)), {
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

  private decode(bytes: Uint8Array): readonly EndpointNotice[] {
    const content = unpackNewest(bytes, migrations, FILE)
    if (content.ok) return fromBinary(EndpointNoticesSchema, content.val).notices
    this.options.log.warn('the stored directory is damaged', { err: content.val })
    return []
  }
}

function encode(notices: readonly EndpointNotice[]): Uint8Array {
  const all = create(EndpointNoticesSchema, { notices: notices.map(forgetAge) })
  return packNewest(toBinary(EndpointNoticesSchema, all), migrations)
}

/** How old a notice was when it was stored tells nothing after a restart. */
function forgetAge(notice: EndpointNotice): EndpointNotice {
  return { ...notice, ageMs: 0 }
}
