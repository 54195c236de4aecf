import { create } from '@bufbuild/protobuf'
import { DispatchEventKind } from '@cherryhitch/dispatch'
import type { DispatchEvent, DispatchMachine, LossNews } from '@cherryhitch/dispatch'
import { EndpointNoticesSchema, envelope, NoticeState } from '@cherryhitch/protocol'
import type {
  EndpointNotice,
  EndpointNotices,
  EndpointNoticesRead,
  Envelope,
  ReadEndpointNotices,
} from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { directoryOf } from './directoryOf'
import type { Directory } from './directoryOf'

/**
 * Heartbeats that say nothing new are passed on together, at most this long after the first of them,
 * in milliseconds. Endpoints are forgotten only after seconds, and each message goes to all hosts of
 * voters.
 */
const GATHER_MS = 500
/** Endpoints call another instance after a second without an answer. */
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
  /** From this time on the directory holds every endpoint that announces itself. */
  readonly completeAt: number
  /** When this process last followed a leader before the term; its start if it never did. */
  readonly followedBefore: (term: number) => number
}

/** Who has told a new leader all that it knows. */
interface DirectoryReading {
  readonly term: number
  readonly needed: number
  readonly complete: Set<string>
  /** Until when each that answered had followed earlier leaders. */
  readonly followed: Map<string, number>
}

/**
 * Spreads what endpoints say of themselves over the instances that may lead. A goodbye is only
 * acknowledged once the leader has it, since it would go on starting tasks there otherwise.
 *
 * @internal
 */
export class NoticeExchange {
  private readonly waiting = new Map<string, (byLeader: boolean) => void>()
  private requests = 0
  private reading: DirectoryReading | undefined
  /** The newest of each endpoint, of those that say nothing new. */
  private gathered = new Map<string, EndpointNotice>()

  constructor(private readonly options: NoticeExchangeOptions) {}

  /** Takes a notice from an endpoint; true once it may be acknowledged. */
  take(notice: EndpointNotice): Effect.Effect<boolean> {
    const { options } = this
    const { machine } = options
    const isNews = machine.isNews(notice)
    const isLeaving = notice.state !== NoticeState.SERVING
    const isHeeded = machine.heeds(notice)
    options.tell({ kind: DispatchEventKind.Notice, notice })
    if (isLeaving && machine.leads && !isHeeded) return Effect.succeed(false)
    if (!isLeaving || machine.leads) {
      if (isNews) this.spread([notice], '')
      else this.gather(notice)
      return Effect.succeed(true)
    }
    const leader = options.leader()
    if (leader === '' || leader === options.instance) return Effect.succeed(false)
    return this.confirmBy(notice)
  }

  /** Another instance passed notices on. */
  onNotices(from: string, message: EndpointNotices): void {
    const { machine, send } = this.options
    const { requestId, notices } = message
    const isHeeded = notices.every((notice) => machine.heeds(notice))
    this.takeIn(message)
    if (requestId === '') return
    const value = { requestId, byLeader: machine.leads && isHeeded }
    send(from, envelope({ case: 'endpointNoticesTaken', value }))
  }

  onTaken(requestId: string, byLeader: boolean): void {
    this.waiting.get(requestId)?.(byLeader)
  }

  /** This instance leads from now on: a majority of the voters is asked what it knows. */
  readAll(term: number, voters: readonly string[]): void {
    const { instance } = this.options
    const needed = Math.floor(voters.length / 2) + 1
    const complete = new Set<string>()
    if (this.isComplete()) complete.add(instance)
    const followed = new Map([[instance, this.options.followedBefore(term)]])
    this.reading = { term, needed, complete, followed }
    for (const voter of voters) {
      if (voter === instance) continue
      this.options.send(voter, envelope({ case: 'readEndpointNotices', value: { term } }))
    }
    this.finishReading()
  }

  onRead(from: string, { term }: ReadEndpointNotices): void {
    const followedMsAgo = this.options.now() - this.options.followedBefore(term)
    const value = { term, ...this.known(), complete: this.isComplete(), followedMsAgo }
    this.options.send(from, envelope({ case: 'endpointNoticesRead', value }))
  }

  onReadAnswered(from: string, answer: EndpointNoticesRead): void {
    const { term, complete, followedMsAgo } = answer
    this.takeIn(answer)
    if (this.reading?.term !== term) return
    if (complete) this.reading.complete.add(from)
    this.reading.followed.set(from, this.options.now() - followedMsAgo)
    this.finishReading()
  }

  /** Brings a notice to all who may lead. */
  pass(notice: EndpointNotice): void {
    this.spread([notice], '')
  }

  /** Tells all who may lead of endpoints that were lost. */
  passLosses({ lost, possible }: LossNews): void {
    this.sendToPeers(create(EndpointNoticesSchema, { lost: [...lost], possible: [...possible] }))
  }

  /** A new instance gets everything that is known here. */
  tellAll(instance: string): void {
    const value = this.known()
    if (value.notices.length === 0) return
    this.options.send(instance, envelope({ case: 'endpointNotices', value }))
  }

  /** What is known here of endpoints and their losses, for another instance. */
  private known(): Directory {
    return directoryOf(this.options.machine, this.options.now())
  }

  private takeIn({ notices, lost, possible }: Directory): void {
    const { tell } = this.options
    const hasNews = lost.length + possible.length > 0
    if (hasNews) tell({ kind: DispatchEventKind.Loss, news: { lost, possible } })
    for (const notice of notices) tell({ kind: DispatchEventKind.Notice, notice })
  }

  private isComplete(): boolean {
    return this.options.now() >= this.options.completeAt
  }

  private finishReading(): void {
    if (this.reading === undefined) return
    const { term, needed, complete, followed } = this.reading
    if (followed.size >= needed) {
      const followedUntil = Math.max(...followed.values())
      this.options.tell({ kind: DispatchEventKind.EarlierLeaders, term, followedUntil })
    }
    if (complete.size < needed) return
    this.reading = undefined
    this.options.tell({ kind: DispatchEventKind.DirectoryRead, term })
  }

  private gather(notice: EndpointNotice): void {
    this.gathered.set(notice.endpoint, notice)
    if (this.gathered.size > 1) return
    this.options.after(GATHER_MS, () => {
      const notices = [...this.gathered.values()]
      this.gathered = new Map()
      this.spread(notices, '')
    })
  }

  private spread(notices: EndpointNotice[], requestId: string): void {
    this.sendToPeers(create(EndpointNoticesSchema, { notices, requestId }))
  }

  private sendToPeers(value: EndpointNotices): void {
    for (const peer of this.options.peers()) {
      this.options.send(peer, envelope({ case: 'endpointNotices', value }))
    }
  }

  private confirmBy(notice: EndpointNotice): Effect.Effect<boolean> {
    const requestId = `${this.options.instance}.${this.options.boot}.${++this.requests}`
    const answered = Effect.callback<boolean>((resume) => {
      this.waiting.set(requestId, (byLeader) => {
        if (byLeader) resume(Effect.succeed(true))
      })
      this.spread([notice], requestId)
    })
    const limited = Effect.timeoutOption(answered, CONFIRM_TIMEOUT_MS)
    return Effect.map(limited, (option) => {
      this.waiting.delete(requestId)
      return option._tag === 'Some'
    })
  }
}
