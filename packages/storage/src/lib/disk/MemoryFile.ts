import { exhaustive } from '@cherryhitch/model'

/** The part that a disk writes whole or not at all; real ones have 512 bytes or more. */
const SECTOR_BYTES = 32
const START_CAPACITY = 256

interface Range {
  readonly from: number
  readonly to: number
}

/** What a crash leaves of bytes that were not synced. */
enum Remains {
  Nothing = 'nothing',
  Prefix = 'prefix',
  /** Some sectors in any place; the others are zeros. */
  Sectors = 'sectors',
}

const allRemains = Object.values(Remains)

/** A file of a {@link MemoryDisk}: what reads show, and what a crash would leave. @internal */
export class MemoryFile {
  private buffer = Buffer.alloc(START_CAPACITY)
  private syncedSize = 0
  /** Bytes that a failed sync marked clean: later syncs don't write them either. */
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

  /** @param size - what was written when the sync started */
  sync(size: number): void {
    this.syncedSize = Math.max(this.syncedSize, size)
  }

  /** The kernel reports the error once, then takes the bytes for written. */
  failSync(): void {
    if (this.size > this.syncedSize) this.lost.push({ from: this.syncedSize, to: this.size })
    this.syncedSize = this.size
  }

  /** Keeps what was synced and a random part of what was not. */
  crash(random: () => number): void {
    const doubtful = [...this.lost, { from: this.syncedSize, to: this.size }]
    this.lost = []
    for (const range of doubtful) {
      // Nothing stands behind the last range, so that one can also get shorter.
      const isLast = range.to === this.size
      const end = damage(this.buffer, range, random)
      if (isLast && random() < 0.5) this.size = end
    }
    this.syncedSize = this.size
  }

  /** Flips the bits of one byte, as a failing disk does. */
  flip(at: number): void {
    this.buffer.writeUInt8(this.buffer.readUInt8(at) ^ 0xff, at)
  }
}

/** Destroys a part of a range; returns where its intact front ends. */
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
