import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RelayEventKind } from '@cherryhitch/dispatch'
import type { RelayEvent } from '@cherryhitch/dispatch'
import { JobVerdict, makeJobOutcome, makeSteppedJob } from '@cherryhitch/protocol'
import type { JobOutcome } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { CallerRequests } from './CallerRequests'

const context = { host: 'h', path: '/p/j', receivedAt: 0, deadlineAt: 1_500 }
const spec = makeSteppedJob('j', '', [])

/** The open requests of one process of an entry, and the events sent to its relay. */
class EntryProcess {
  readonly events: RelayEvent[] = []
  readonly warnings: string[] = []
  readonly requests: CallerRequests

  constructor(boot: number) {
    const { events, warnings } = this
    const warn = (message: string): void => void warnings.push(message)
    const log = { debug: ignore, info: ignore, warn, error: ignore }
    this.requests = new CallerRequests({
      boot,
      tell: (event) => events.push(event),
      now: () => 0,
      log,
      measure: ignore,
    })
  }

  /** Submits a request; returns the id that its answer has to carry, and the answer. */
  submit(): { requestId: string; answer: Promise<JobOutcome> } {
    const answer = Effect.runPromise(this.requests.submit(context, spec))
    const event = this.events.at(-1)
    assert.equal(event?.kind, RelayEventKind.Submit)
    return { requestId: event.requestId, answer }
  }
}

describe('CallerRequests', () => {
  it('ignores an answer to a request of an earlier process of the entry', async () => {
    const earlier = new EntryProcess(1).submit()
    const later = new EntryProcess(2)
    const { requestId, answer } = later.submit()
    const refused = { verdict: JobVerdict.REFUSED, reason: 'no place' }
    later.requests.answer(makeJobOutcome({ requestId: earlier.requestId, ...refused }), 1)
    assert.equal(later.requests.size, 1)
    const verdict = JobVerdict.COMPLETED
    later.requests.answer(makeJobOutcome({ requestId, verdict, reason: 'all done' }), 1)
    assert.equal((await answer).verdict, JobVerdict.COMPLETED)
  })

  it('reports an answer by older routing than an answer that came before the request', () => {
    const { requests, submit, warnings } = makeAnswering()
    const verdict = JobVerdict.COMPLETED
    const before = submit()
    requests.answer(makeJobOutcome({ requestId: submit(), verdict, routingVersion: 7 }), 1)
    requests.answer(makeJobOutcome({ requestId: before, verdict, routingVersion: 6 }), 1)
    requests.answer(makeJobOutcome({ requestId: submit(), verdict: JobVerdict.UNKNOWN }), 1)
    assert.equal(requests.counters.answered_under_older_routing, 0)
    const older = { verdict: JobVerdict.NO_ROUTE, routingVersion: 6 }
    requests.answer(makeJobOutcome({ requestId: submit(), ...older }), 1)
    assert.equal(requests.counters.answered_under_older_routing, 1)
    assert.equal(requests.counters.answered_without_route, 1)
    assert.equal(requests.counters.routingVersion, 7)
    assert.deepEqual(warnings, ['a request was answered under an older routing version'])
  })
})

function makeAnswering() {
  const entry = new EntryProcess(1)
  const { requests, warnings } = entry
  return { requests, warnings, submit: () => entry.submit().requestId }
}

function ignore(): void {
  // Log lines and measurements are not checked here.
}
