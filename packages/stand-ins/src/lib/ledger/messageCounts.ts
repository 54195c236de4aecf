/** Messages between the system and its endpoints. @public */
export enum MessageKind {
  Run = 'run',
  Stop = 'stop',
  Lease = 'lease',
  Heartbeat = 'heartbeat',
}

/** Why a message did no good. @public */
export enum Waste {
  /** A run that met full slots, or an endpoint that had left. */
  RefusedFull = 'refused_full',
  /** A run of a fenced id. */
  RunAfterFence = 'run_after_fence',
  /** A run of an id that runs here or has ended. */
  DuplicateRun = 'duplicate_run',
  /** A run that was to join a task not known here. */
  NothingToJoin = 'nothing_to_join',
  /** A run that was meant for an earlier process of the endpoint. */
  WrongBoot = 'wrong_boot',
  /** A malformed or foreign request. */
  Rejected = 'rejected',
  /** A stop none of whose tasks was running. */
  StopWithoutTask = 'stop_without_task',
  /** A renewal none of whose tasks was running. */
  LeaseWithoutTask = 'lease_without_task',
  /** A heartbeat that got no answer. */
  Unanswered = 'unanswered',
  /** A heartbeat that reached another instance than the owner. */
  NotOwner = 'not_owner',
}

/** @public */
export interface MessageCount {
  readonly kind: MessageKind
  readonly messages: number
  readonly wasted: number
  readonly wastedBy: Readonly<Partial<Record<Waste, number>>>
}

/** Counts messages by kind, and those that did no good by reason. @public */
export class MessageCounts {
  private readonly totals = new Map<MessageKind, number>()
  private readonly wastes = new Map<MessageKind, Map<Waste, number>>()

  add(kind: MessageKind, waste?: Waste): void {
    this.addMany(kind, 1)
    if (waste !== undefined) this.addWaste(kind, waste, 1)
  }

  absorb(counts: readonly MessageCount[]): void {
    for (const { kind, messages, wastedBy } of counts) {
      this.addMany(kind, messages)
      for (const waste of Object.values(Waste)) this.addWaste(kind, waste, wastedBy[waste] ?? 0)
    }
  }

  toData(): MessageCount[] {
    return Object.values(MessageKind).map((kind) => {
      const wastedBy: Partial<Record<Waste, number>> = Object.fromEntries(
        this.wastes.get(kind) ?? [],
      )
      const wasted = Object.values(wastedBy).reduce((sum, count) => sum + count, 0)
      return { kind, messages: this.totals.get(kind) ?? 0, wasted, wastedBy }
    })
  }

  private addMany(kind: MessageKind, count: number): void {
    this.totals.set(kind, (this.totals.get(kind) ?? 0) + count)
  }

  private addWaste(kind: MessageKind, waste: Waste, count: number): void {
    if (count === 0) return
    const byReason = this.wastes.get(kind) ?? new Map<Waste, number>()
    byReason.set(waste, (byReason.get(waste) ?? 0) + count)
    this.wastes.set(kind, byReason)
  }
}
