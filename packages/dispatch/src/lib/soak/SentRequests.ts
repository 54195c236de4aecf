import type { Envelope } from '@cherryhitch/protocol'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'

/** A link may resend what it sent within this time, in milliseconds. */
const RESEND_MS = 700

interface SentRequest {
  readonly leader: number
  readonly at: number
  readonly event: DispatchEvent
}

/** The requests that were sent to leaders lately, in order. @internal */
export class SentRequests {
  #sent: SentRequest[] = []

  note(now: number, leader: number, event: DispatchEvent): void {
    this.#sent = this.#sent.filter(({ at }) => at >= now - RESEND_MS)
    this.#sent.push({ leader, at: now, event })
  }

  /** What a link that knows no processes would send again to a leader. */
  unacknowledged(now: number, leader: number): readonly DispatchEvent[] {
    const lost = this.#sent.filter((sent) => sent.leader === leader && sent.at >= now - RESEND_MS)
    return lost.map(({ event }) => event)
  }
}

/** What a dispatcher is told of a message of an entry. @internal */
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
