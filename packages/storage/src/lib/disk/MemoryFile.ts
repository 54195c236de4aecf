import { exhaustive } from '@cherryhitch/model'

/** Unit that a disk writes atomically; real disks have sectors of 512 bytes or more. */
const SECTOR_BYTES = 32
const INITIAL_CAPACITY_BYTES = 256

interface Range {
  readonly from: number
  readonly to: number
}

/** What remains of unsynced bytes after a crash. */
enum Remains {
  Nothing = 'nothing',
  Prefix = 'prefix',
  /** A random subset of the sectors; the others are zeroed. */
  Sectors = 'sectors',
}

const allRemains = Object.values(Remains)

/** A {@link MemoryDisk} file: its current content and what would survive a crash. @internal */
export class MemoryFile {
  private buffer = Buffer.alloc(INITIAL_CAPACITY_BYTES)
  private syncedSize = 0
  /** Ranges that a failed sync marked clean: later syncs do not write them either. */
  private lost: Range[] = []
  size = 0

  append(bytes: Uint8Array): void {
    const needed = this.size + bytes.length
    if (needed > this.buffer.length) {
      const grown = Buffer.alloc(Math.max(needed, this.buffer.length * 2))
      this.buffer.copy(grown, 0, 0, this.size)
      this.buffer = grown
    }
    this.buffer.set(bytes, this.size)
    this.size = needed
  }

  read(): Uint8Array {
    return new Uint8Array(this.buffer.subarray(0, this.size))
  }

  /** @param size - size of the file when the sync started */
  sync(size: number): void {
    this.syncedSize = Math.max(this.syncedSize, size)
  }

  /** Simulates a kernel that reports the error once, then treats the bytes as written. */
  failSync(): void {
    if (this.size > this.syncedSize) this.lost.push({ from: this.syncedSize, to: this.size })
    this.syncedSize = this.size
  }

  /** Keeps the synced bytes and a random part of the unsynced ones. */
  crash(random: () => number): void {
    const unsynced = [...this.lost, { from: this.syncedSize, to: this.size }]
    this.lost = []
    for (const range of unsynced) {
      // No bytes follow the last range, so the file may also be truncated there.
      const isLast = range.to === this.size
      const end = damage(this.buffer, range, random)
      if (isLast && random() < 0.5) this.size = end
    }
    this.syncedSize = this.size
  }

  /** Inverts all bits of one byte, to simulate corruption on a failing disk. */
  flip(at: number): void {
    this.buffer.writeUInt8(this.buffer.readUInt8(at) ^ 0xff, at)
  }
}

/** Zeroes a random part of a range; returns the offset at which the file may be truncated. */
function damage(buffer: Buffer, { from, to }: Range, random: () => number): number {
  const remains = allRemains[Math.floor(random() * allRemains.length)]
  switch (remains) {
    case Remains.Prefix: {
      const end = from + Math.floor(random() * (to - from + 1))
      buffer.fill(0, end, to)
      return end
    }
    case Remains.Sectors: {
      for (let at = from; at < to; at += SECTOR_BYTES) {
        if (random() < 0.5) buffer.fill(0, at, Math.min(at + SECTOR_BYTES, to))
      }
      return to
    }
    case Remains.Nothing:
    case undefined: {
      buffer.fill(0, from, to)
      return from
    }
    default:
      return exhaustive(remains)
  }
}
