import { exhaustive } from '@cherryhitch/model'
import type { CoordinatorMessage } from '@cherryhitch/coordinator'
import type { OwnerMessage } from '@cherryhitch/owner'
import type { Envelope, EnvelopeBody, InstanceHeartbeat } from '@cherryhitch/protocol'

/** The parts that receive messages from other instances. @internal */
export interface EnvelopeReceivers {
  readonly toOwner: (from: string, message: OwnerMessage) => void
  readonly toCoordinator: (from: string, message: CoordinatorMessage) => void
  readonly toMembership: (from: string, boot: number, heartbeat: InstanceHeartbeat) => void
  readonly toControl: (from: string, boot: number, body: EnvelopeBody) => void
}

/** Routes each envelope to the part that handles it. @internal */
export class EnvelopeRouter {
  /** Number of envelopes without a known body, as sent by a newer version. */
  unknownEnvelopes = 0

  constructor(private readonly receivers: EnvelopeReceivers) {}

  route(from: string, boot: number, { body }: Envelope): void {
    switch (body.case) {
      case 'placeTasks':
      case 'cancelTasks':
      case 'fenceTasks':
      case 'handOverEndpoints':
      case 'releaseSlots':
      case 'forwardHeartbeat':
        this.receivers.toOwner(from, body)
        return
      case 'taskReports':
      case 'fenceReports':
      case 'forwardJob':
      case 'jobQuery':
      case 'jobReply':
        this.receivers.toCoordinator(from, body)
        return
      case 'instanceHeartbeat':
        this.receivers.toMembership(from, boot, body.value)
        return
      case 'propose':
      case 'proposeReply':
      case 'readControl':
      case 'readControlReply':
      case 'settingsNotice':
      case 'settingsApplied':
      case 'voteRequest':
      case 'voteReply':
      case 'appendEntries':
      case 'appendReply':
      case 'installSnapshot':
      case 'startElection':
        this.receivers.toControl(from, boot, body)
        return
      // Messages between dispatching instances, which this kind of instance does not handle.
      case 'announceInstance':
      case 'instanceDirectory':
      case 'endpointNotices':
      case 'endpointNoticesTaken':
      case 'submitJob':
      case 'askJob':
      case 'abandonJob':
      case 'jobOutcome':
      case 'readEndpointNotices':
      case 'endpointNoticesRead':
      case 'endpointOrders':
      case 'endpointAnswers':
      case 'unansweredJobs':
      case 'leaderHints':
      case 'readOpenJobs':
      case 'openJobs':
      case 'text':
      case undefined:
        this.unknownEnvelopes++
        return
      default:
        exhaustive(body)
    }
  }
}
