import type { ControlNode } from '@cherryhitch/control'
import { DiscoveryEventKind, DispatchEventKind } from '@cherryhitch/dispatch'
import type { DispatchEvent, Dispatcher, OrderProxy } from '@cherryhitch/dispatch'
import type { Envelope, OpenJobs } from '@cherryhitch/protocol'
import { LateBound } from '../instance/LateBound'
import type { DirectoryStore } from './DirectoryStore'
import type { NoticeExchange } from './NoticeExchange'
import type { OpenJobsReader } from './OpenJobsReader'
import type { DiscoveryActor } from './startDiscovery'

/**
 * The parts of a dispatching instance that receive messages; each is bound once it has started.
 *
 * @internal
 */
export class DispatchParts {
  readonly dispatcher = new LateBound<Dispatcher>()
  readonly proxy = new LateBound<OrderProxy>()
  readonly control = new LateBound<ControlNode>()
  readonly discovery = new LateBound<DiscoveryActor>()
  readonly notices = new LateBound<NoticeExchange>()
  readonly directoryStore = new LateBound<DirectoryStore>()
  readonly openJobs = new LateBound<OpenJobsReader>()

  /** Routes a message to the part that handles it. */
  receive(from: string, boot: number, { body }: Envelope): void {
    switch (body.case) {
      case 'submitJob':
        this.#dispatch({ kind: DispatchEventKind.SubmitJob, from, req: body.value })
        return
      case 'askJob':
        this.#dispatch({ kind: DispatchEventKind.QueryJob, from, req: body.value })
        return
      case 'abandonJob':
        this.#dispatch({ kind: DispatchEventKind.AbandonJob, from, req: body.value })
        return
      case 'unansweredJobs':
        this.#dispatch({ kind: DispatchEventKind.UnansweredJobs, req: body.value })
        return
      case 'leaderHints':
        this.#dispatch({ kind: DispatchEventKind.LeaderHints, hints: body.value })
        return
      case 'readOpenJobs':
        this.#dispatch({ kind: DispatchEventKind.ReadOpenJobs, from, req: body.value })
        return
      case 'openJobs':
        this.#receiveOpenJobs(from, body.value)
        return
      case 'endpointOrders':
      case 'endpointAnswers':
        this.#receiveOrders(from, boot, body)
        return
      case 'announceInstance':
      case 'instanceDirectory':
        this.#receiveDiscovery(from, body)
        return
      case 'endpointNotices':
      case 'endpointNoticesTaken':
      case 'readEndpointNotices':
      case 'endpointNoticesRead':
        this.#receiveNotices(from, body)
        return
      case undefined:
        return
      default:
        this.control.use((control) => {
          control.receive(from, boot, body)
        })
    }
  }

  /** A job outcome was sent to an instance, which learns from it that the leader is alive. */
  onOutcomeSent(to: string): void {
    this.discovery.use((part) => {
      part.tell({ kind: DiscoveryEventKind.LeaderMessageSent, to })
    })
  }

  /** Makes a new leader ask the voters which endpoints earlier leaders knew. */
  readDirectories(term: number): void {
    this.control.use((control) => {
      const members = control.status()?.members ?? []
      const voters = members.flatMap(({ instance, learner }) => (learner ? [] : instance))
      this.notices.use((notices) => {
        notices.readFromVoters(term, voters)
      })
    })
  }

  #dispatch(event: DispatchEvent): void {
    this.dispatcher.use((part) => {
      part.tell(event)
    })
  }

  #receiveOpenJobs(from: string, openJobs: OpenJobs): void {
    this.openJobs.use((reader) => {
      reader.onReport(from, openJobs)
    })
  }

  #receiveOrders(from: string, boot: number, body: OrderBody): void {
    if (body.case === 'endpointOrders') {
      const message = body.value
      this.proxy.use((proxy) => {
        proxy.onOrders(from, boot, message)
      })
      return
    }
    const answers = body.value
    this.dispatcher.use((dispatcher) => {
      dispatcher.onAnswers(from, answers)
    })
  }

  #receiveDiscovery(from: string, body: DiscoveryBody): void {
    this.discovery.use((part) => {
      if (body.case === 'announceInstance') {
        part.tell({ kind: DiscoveryEventKind.Announced, from, announcement: body.value })
      } else {
        part.tell({ kind: DiscoveryEventKind.DirectoryReceived, from, directory: body.value })
      }
    })
  }

  #receiveNotices(from: string, body: NoticeBody): void {
    this.notices.use((notices) => {
      switch (body.case) {
        case 'endpointNotices':
          notices.onNotices(from, body.value)
          return
        case 'endpointNoticesTaken':
          notices.onConfirmation(body.value.requestId, body.value.byLeader)
          return
        case 'readEndpointNotices':
          notices.onReadRequest(from, body.value)
          return
        case 'endpointNoticesRead':
          notices.onReadReply(from, body.value)
      }
    })
  }
}

type BodyOf<C extends Envelope['body']['case']> = Extract<Envelope['body'], { case: C }>
type OrderBody = BodyOf<'endpointOrders' | 'endpointAnswers'>
type DiscoveryBody = BodyOf<'announceInstance' | 'instanceDirectory'>
type NoticeBody = BodyOf<
  'endpointNotices' | 'endpointNoticesTaken' | 'readEndpointNotices' | 'endpointNoticesRead'
>
