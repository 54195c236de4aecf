import type { Envelope } from '@cherryhitch/protocol'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'

/** Time within which a link may resend a message, in milliseconds. */
const RESEND_MS = 700

interface SentRequest {
  readonly leader: number
  readonly at: number
  readonly event: DispatchEvent
}

/** Recent requests to leaders, in the order in which they were sent. @internal */
export class SentRequests {
  #sent: SentRequest[] = []

  note(now: number, leader: number, event: DispatchEvent): void {
    this.#sent = this.#sent.filter(({ at }) => at >= now - RESEND_MS)
    this.#sent.push({ leader, at: now, event })
  }

  /** Requests that a link would resend to a leader if it did not distinguish its processes. */
  unacknowledged(now: number, leader: number): readonly DispatchEvent[] {
    const lost = this.#sent.filter((sent) => sent.leader === leader && sent.at >= now - RESEND_MS)
    return lost.map(({ event }) => event)
  }
}

/** Converts a message from an entry to an event of the dispatcher. @internal */
export function requestOf(from: string, { body }: Envelope): DispatchEvent | undefined {
  switch (body.case) {
    case 'submitJob':
      return { kind: DispatchEventKind.SubmitJob, from, req: body.value }
    case 'abandonJob':
      return { kind: DispatchEventKind.AbandonJob, from, req: body.value }
    case 'unansweredJobs':
      return { kind: DispatchEventKind.UnansweredJobs, req: body.value }
    default:
      return undefined
  }
}
