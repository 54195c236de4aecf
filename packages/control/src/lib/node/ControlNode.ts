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

/** The newest settings that this instance knows. @public */
export interface KnownSettings {
  readonly settings: SettingsState
  /** False while the quorum cannot be reached. */
  readonly current: boolean
}

/**
 * An instance's access to the replicated log: presets, audit log and claims. Created by
 * {@link startControlNode}.
 *
 * @public
 */
export class ControlNode {
  readonly #host: ControlHost

  /** @internal */
  constructor(host: ControlHost) {
    this.#host = host
  }

  /** Handles a message from another instance; messages for other components are ignored. */
  receive(from: string, boot: number, body: EnvelopeBody): void {
    this.#host.receive(from, boot, body)
  }

  /** Reports an instance of the own availability zone and its announced settings version. */
  observePeer(instance: string, settingsVersion: number): void {
    this.#host.observePeer(instance, settingsVersion)
  }

  /**
   * Commits a command. The result `UNAVAILABLE` guarantees that the command was not accepted. After
   * `UNKNOWN` it may still be committed; propose it again under the same command id to find out.
   */
  propose(command: Command): Effect.Effect<CommandAnswer> {
    return Effect.callback((resume) => {
      this.#host.propose(command, (answer) => {
        resume(Effect.succeed(answer))
      })
    })
  }

  /**
   * Claims a submission key before its job is dispatched. Claims that are pending at the same time
   * share a log entry.
   *
   * @returns undefined if the key is certainly not claimed, since no quorum can be reached. Fails
   *   with an error of kind `ClaimUnknown` if the claim may or may not have been committed; the job
   *   must then not be dispatched, and ending the claim without an answer releases the key.
   */
  claim(claim: KeyClaim): Effect.Effect<ClaimAnswer | undefined, ControlError> {
    return Effect.callback((resume) => {
      this.#host.claim(claim, (outcome) => {
        resume(outcome instanceof ControlError ? Effect.fail(outcome) : Effect.succeed(outcome))
      })
    })
  }

  /**
   * Ends a claim and stores the answer of its job for later submissions of the key; proposed again
   * until it is committed. An end without an answer releases the key, and is only for a job that
   * was never dispatched and never will be.
   */
  endClaim(end: ClaimEnd): void {
    this.#host.endClaim(end)
  }

  /**
   * Reads through the quorum, with a page of the audit log that starts at a position (negative for
   * none). Without a quorum the reply is not `ok` and holds the newest settings known here.
   */
  read(auditFrom: number, limit: number): Effect.Effect<ReadControlReply> {
    return Effect.callback((resume) => {
      const range = { auditFrom, auditLimit: limit, withRouting: false }
      this.#host.read(range, (reply) => {
        resume(Effect.succeed(reply))
      })
    })
  }

  /** Reads the newest routing through the quorum; undefined if no quorum can be reached. */
  readRouting(): Effect.Effect<RoutingState | undefined> {
    return Effect.callback((resume) => {
      const range = { auditFrom: -1, auditLimit: 0, withRouting: true }
      this.#host.read(range, (reply) => {
        resume(Effect.succeed(reply.ok ? reply.routing : undefined))
      })
    })
  }

  /**
   * Called before the process stops: if this instance leads, another voter takes over without
   * waiting for the election timeout.
   */
  transferLeadership(): void {
    this.#host.transferLeadership()
  }

  /**
   * The latest time at which a majority is known to have followed this instance as leader, in
   * milliseconds of its clock; -Infinity if it does not lead. A later leader can only have been
   * elected after that time.
   */
  confirmedAt(): number {
    return this.#host.confirmedAt()
  }

  /** Undefined until the first settings are known. */
  settings(): KnownSettings | undefined {
    return this.#host.settings()
  }

  /** The newest settings known here to be committed; undefined until the first are known. */
  committedSettings(): SettingsState | undefined {
    return this.#host.committedSettings()
  }

  /**
   * Status of the voters as the leader sees it: current if this instance leads, otherwise the last
   * one received; undefined before that.
   */
  status(): VotersStatus | undefined {
    return this.#host.status()
  }

  /**
   * Instances of the voters and learners in the last status of the voters; before the first one,
   * those that the own disk names.
   */
  memberInstances(): readonly string[] {
    return this.#host.memberInstances()
  }

  isLeader(): boolean {
    return this.#host.isLeader()
  }

  /** The leader's instance, as far as this instance knows; empty while no leader is known. */
  leader(): string {
    return this.#host.leader()
  }

  /**
   * The leader that this instance's voter follows, or this instance itself if it leads; empty while
   * the voter knows no leader.
   */
  followedLeader(): string {
    return this.#host.followedLeader()
  }

  /**
   * When this process last followed a leader of a term before `term`, in milliseconds of its clock;
   * undefined if it never did.
   */
  followedBefore(term: number): number | undefined {
    return this.#host.followedBefore(term)
  }

  /** Current term of this instance's voter; 0 without a disk. */
  term(): number {
    return this.#host.term()
  }

  /** Id of this instance's disk among the voters; undefined without a disk. */
  diskId(): string | undefined {
    return this.#host.diskId
  }

  /**
   * Values for metrics: counters, except for the gauges `ends_waiting`, `zones_drained`, `disk_open`
   * and `safeLossesNow`, the further losses of voters that the set can bear: -1 while no current
   * status of the leader is known.
   */
  counters(): Record<string, number> {
    return this.#host.counters()
  }
}
