import { create } from '@bufbuild/protobuf'
import { DispatchEventKind } from '@cherryhitch/dispatch'
import type { DispatchEvent, DispatchMachine, LossUpdate } from '@cherryhitch/dispatch'
import { EndpointNoticesSchema, envelope, NoticeState } from '@cherryhitch/protocol'
import type {
  EndpointNotice,
  EndpointNotices,
  EndpointNoticesRead,
  Envelope,
  LeaderHints,
  ReadEndpointNotices,
} from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { endpointDirectoryOf } from './endpointDirectoryOf'
import type { EndpointDirectory } from './endpointDirectoryOf'
import { lastConfirmableAt } from './lastConfirmableAt'
import { majorityOf } from './majorityOf'

/**
 * Heartbeats that change nothing are forwarded in batches, at most this long after the first of a
 * batch. The delay is harmless, because endpoints are removed only after seconds without a
 * heartbeat, and batches save messages, because each one goes to all voter hosts.
 */
const BATCH_WINDOW_MS = 500
/** Below one second, after which an endpoint without an answer tries another instance. */
const CONFIRM_TIMEOUT_MS = 800

/** @internal */
export interface NoticeExchangeOptions {
  readonly instance: string
  readonly boot: number
  readonly machine: DispatchMachine
  readonly tell: (event: DispatchEvent) => void
  readonly send: (to: string, message: Envelope) => void
  readonly peers: () => readonly string[]
  readonly leader: () => string
  readonly now: () => number
  readonly after: (ms: number, run: () => void) => void
  /** Time from which the directory holds every endpoint that sends heartbeats. */
  readonly completeAt: number
  /** When this voter last followed a leader of an earlier term, or else when it was launched. */
  readonly followedBefore: (term: number) => number
}

/** Progress of a new leader in reading the endpoint directories of the voters. */
interface DirectoryReadProgress {
  readonly term: number
  readonly voters: number
  /** Instances that have answered with a complete directory. */
  readonly complete: Set<string>
  /** For each instance that has answered, when it last followed an earlier leader. */
  readonly followed: Map<string, number>
}

/**
 * Replicates endpoint notices to all instances that may become leader. A notice that an endpoint
 * leaves is acknowledged only once the leader has applied it; otherwise the leader would go on
 * starting tasks on that endpoint.
 *
 * @internal
 */
export class NoticeExchange {
  private readonly pendingConfirmations = new Map<string, (byLeader: boolean) => void>()
  private requestCount = 0
  private readProgress: DirectoryReadProgress | undefined
  /** The latest notice of each endpoint, among those that change nothing. */
  private batched = new Map<string, EndpointNotice>()

  constructor(private readonly options: NoticeExchangeOptions) {}

  /** Applies a notice from an endpoint; true once it may be acknowledged. */
  acceptNotice(notice: EndpointNotice): Effect.Effect<boolean> {
    const { options } = this
    const { machine } = options
    const changesDirectory = machine.changesEndpoint(notice)
    const isLeaving = notice.state !== NoticeState.SERVING
    const isHonored = machine.honorsLeaving(notice)
    options.tell({ kind: DispatchEventKind.Notice, notice })
    if (isLeaving && machine.leads && !isHonored) return Effect.succeed(false)
    if (!isLeaving || machine.leads) {
      if (changesDirectory) this.broadcastNotices([notice])
      else this.addToBatch(notice)
      return Effect.succeed(true)
    }
    const leader = options.leader()
    if (leader === '' || leader === options.instance) return Effect.succeed(false)
    return this.confirmWithLeader(notice)
  }

  /** Handles notices forwarded by another instance. */
  onNotices(from: string, message: EndpointNotices): void {
    const { machine, send } = this.options
    const { requestId, notices } = message
    const isHonored = notices.every((notice) => machine.honorsLeaving(notice))
    this.applyDirectory(message)
    if (requestId === '') return
    const value = { requestId, byLeader: machine.leads && isHonored }
    send(from, envelope({ case: 'endpointNoticesTaken', value }))
  }

  onConfirmation(requestId: string, byLeader: boolean): void {
    this.pendingConfirmations.get(requestId)?.(byLeader)
  }

  /**
   * Called when this instance becomes leader: requests the endpoint directories of the other
   * voters. Reading is done once a majority of the voters, which may include this instance, has
   * contributed a complete directory.
   */
  readFromVoters(term: number, voters: readonly string[]): void {
    const { instance } = this.options
    const complete = new Set<string>()
    if (this.isComplete()) complete.add(instance)
    const followed = new Map([[instance, this.options.followedBefore(term)]])
    this.readProgress = { term, voters: voters.length, complete, followed }
    for (const voter of voters) {
      if (voter === instance) continue
      this.options.send(voter, envelope({ case: 'readEndpointNotices', value: { term } }))
    }
    this.checkReadProgress()
  }

  onReadRequest(from: string, { term }: ReadEndpointNotices): void {
    const followedMsAgo = this.options.now() - this.options.followedBefore(term)
    const value = { term, ...this.directory(), complete: this.isComplete(), followedMsAgo }
    this.options.send(from, envelope({ case: 'endpointNoticesRead', value }))
  }

  onReadReply(from: string, answer: EndpointNoticesRead): void {
    const { term, complete, followedMsAgo } = answer
    this.applyDirectory(answer)
    if (this.readProgress?.term !== term) return
    if (complete) this.readProgress.complete.add(from)
    this.readProgress.followed.set(from, this.options.now() - followedMsAgo)
    this.checkReadProgress()
  }

  /** Sends notices to all instances that may become leader, which confirm those with a request id. */
  broadcastNotices(notices: EndpointNotice[], requestId = ''): void {
    this.sendToPeers(create(EndpointNoticesSchema, { notices, requestId }))
  }

  /** Sends losses of endpoints to all instances that may become leader. */
  broadcastLosses({ lost, possible }: LossUpdate): void {
    this.sendToPeers(create(EndpointNoticesSchema, { lost: [...lost], possible: [...possible] }))
  }

  /** Sends what this leader has learnt to all instances that may become leader. */
  broadcastHints(value: LeaderHints): void {
    for (const peer of this.options.peers()) {
      this.options.send(peer, envelope({ case: 'leaderHints', value }))
    }
  }

  /** Sends the endpoint directory of this instance to a newly discovered one. */
  sendDirectoryTo(instance: string): void {
    const value = this.directory()
    if (value.notices.length === 0) return
    this.options.send(instance, envelope({ case: 'endpointNotices', value }))
  }

  private directory(): EndpointDirectory {
    return endpointDirectoryOf(this.options.machine, this.options.now())
  }

  private applyDirectory({ notices, lost, possible }: EndpointDirectory): void {
    const { tell } = this.options
    const hasLosses = lost.length + possible.length > 0
    if (hasLosses) tell({ kind: DispatchEventKind.EndpointLosses, losses: { lost, possible } })
    for (const notice of notices) tell({ kind: DispatchEventKind.Notice, notice })
  }

  private isComplete(): boolean {
    return this.options.now() >= this.options.completeAt
  }

  private checkReadProgress(): void {
    if (this.readProgress === undefined) return
    const { term, voters, complete, followed } = this.readProgress
    const confirmedUntil = lastConfirmableAt([...followed.values()], voters)
    if (confirmedUntil < Infinity) {
      this.options.tell({
        kind: DispatchEventKind.EarlierLeadersConfirmed,
        term,
        confirmedUntil,
      })
    }
    if (complete.size < majorityOf(voters)) return
    this.readProgress = undefined
    this.options.tell({ kind: DispatchEventKind.DirectoryComplete, term })
  }

  private addToBatch(notice: EndpointNotice): void {
    this.batched.set(notice.endpoint, notice)
    if (this.batched.size > 1) return
    this.options.after(BATCH_WINDOW_MS, () => {
      const notices = [...this.batched.values()]
      this.batched = new Map()
      this.broadcastNotices(notices)
    })
  }

  private sendToPeers(value: EndpointNotices): void {
    for (const peer of this.options.peers()) {
      this.options.send(peer, envelope({ case: 'endpointNotices', value }))
    }
  }

  private confirmWithLeader(notice: EndpointNotice): Effect.Effect<boolean> {
    const requestId = `${this.options.instance}.${this.options.boot}.${++this.requestCount}`
    const answered = Effect.callback<boolean>((resume) => {
      this.pendingConfirmations.set(requestId, (byLeader) => {
        if (byLeader) resume(Effect.succeed(true))
      })
      this.broadcastNotices([notice], requestId)
    })
    const limited = Effect.timeoutOption(answered, CONFIRM_TIMEOUT_MS)
    return Effect.map(limited, (option) => {
      this.pendingConfirmations.delete(requestId)
      return option._tag === 'Some'
    })
  }
}
