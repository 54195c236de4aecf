import type {
  ClaimAnswer,
  ClaimEnd,
  Command,
  CommandAnswer,
  EnvelopeBody,
  KeyClaim,
  ReadControlReply,
  RoutingState,
  SettingsState,
  VotersStatus,
} from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { ControlError } from '../errors/ControlError'
import type { ControlHost } from './ControlHost'

/** The newest settings that are known here. @public */
export interface KnownSettings {
  readonly settings: SettingsState
  /** False while the quorum can't be reached. */
  readonly current: boolean
}

/**
 * An instance's part in presets, audit record and claims. Made by {@link startControlNode}.
 *
 * @public
 */
export class ControlNode {
  readonly #host: ControlHost

  /** @internal */
  constructor(host: ControlHost) {
    this.#host = host
  }

  /** Takes a message from another instance; those of other parts are ignored. */
  receive(from: string, boot: number, body: EnvelopeBody): void {
    this.#host.receive(from, boot, body)
  }

  /** Notes an instance of the own zone, and the settings version that it says it has. */
  notePeer(instance: string, settingsVersion: number): void {
    this.#host.notePeer(instance, settingsVersion)
  }

  /**
   * Commits a command. The answer is always truthful: `UNAVAILABLE` means truly not accepted,
   * `UNKNOWN` that it may still be committed; ask again with the same command id.
   */
  propose(command: Command): Effect.Effect<CommandAnswer> {
    return Effect.callback((resume) => {
      this.#host.propose(command, (answer) => {
        resume(Effect.succeed(answer))
      })
    })
  }

  /**
   * Claims a submission key before its job is dispatched. Claims that wait at the same time share
   * an entry of the log.
   *
   * @returns undefined when the key is truly not claimed, since no quorum can be reached. An error
   *   of kind `ClaimUnknown` when nobody knows; then the job must not be dispatched, and ending
   *   the claim without an answer releases the key.
   */
  claim(claim: KeyClaim): Effect.Effect<ClaimAnswer | undefined, ControlError> {
    return Effect.callback((resume) => {
      this.#host.claim(claim, (outcome) => {
        resume(outcome instanceof ControlError ? Effect.fail(outcome) : Effect.succeed(outcome))
      })
    })
  }

  /**
   * Stores the answer of a claimed job for later submissions of its key; repeated until it is
   * committed. Without an answer it releases the key: only for a job that was truly never
   * dispatched and never will be.
   */
  endClaim(end: ClaimEnd): void {
    this.#host.endClaim(end)
  }

  /**
   * Reads through the quorum, with a page of the audit record from a position on (negative for
   * none). Without a quorum the reply is not ok and has the newest settings known here.
   */
  read(auditFrom: number, limit: number): Effect.Effect<ReadControlReply> {
    return Effect.callback((resume) => {
      const range = { auditFrom, auditLimit: limit, withRouting: false }
      this.#host.read(range, (reply) => {
        resume(Effect.succeed(reply))
      })
    })
  }

  /** Reads the newest routing through the quorum; undefined when no quorum can be reached. */
  readRouting(): Effect.Effect<RoutingState | undefined> {
    return Effect.callback((resume) => {
      const range = { auditFrom: -1, auditLimit: 0, withRouting: true }
      this.#host.read(range, (reply) => {
        resume(Effect.succeed(reply.ok ? reply.routing : undefined))
      })
    })
  }

  /** Before the process ends: if it leads, another voter takes over without an election timeout. */
  handOver(): void {
    this.#host.handOver()
  }

  /**
   * When a majority is known to have followed this instance as its leader, in milliseconds of its
   * clock; -Infinity if it doesn't lead. No other leader was elected before that.
   */
  confirmedAt(): number {
    return this.#host.confirmedAt()
  }

  /** Undefined until the first settings are known. */
  settings(): KnownSettings | undefined {
    return this.#host.settings()
  }

  /** The voters as the leader sees them, or last told; undefined before that. */
  status(): VotersStatus | undefined {
    return this.#host.status()
  }

  isLeader(): boolean {
    return this.#host.isLeader()
  }

  /** Instance that leads, as far as is known here; empty if unknown. */
  leader(): string {
    return this.#host.leader()
  }

  /** Instance that this instance's voter follows or that it is; empty while it hears of none. */
  followedLeader(): string {
    return this.#host.followedLeader()
  }

  /**
   * When this process last followed a leader of an earlier term, in milliseconds of its clock;
   * undefined if it never did.
   */
  followedBefore(term: number): number | undefined {
    return this.#host.followedBefore(term)
  }

  /** Term that this instance's voter is in; 0 without a disk. */
  term(): number {
    return this.#host.term()
  }

  /** Id of this instance's disk among the voters; undefined without a disk. */
  diskId(): string | undefined {
    return this.#host.diskId
  }

  /** Numbers for metrics, all rising but for the gauges `claims_waiting` and `ends_waiting`. */
  counters(): Record<string, number> {
    return this.#host.counters()
  }
}
