import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { InstanceDirectorySchema, SteppedJobSchema } from '@cherryhitch/protocol'
import fc from 'fast-check'
import { DiscoveryActionKind } from '../discovery/DiscoveryAction'
import type { DiscoveryAction } from '../discovery/DiscoveryAction'
import { DiscoveryEventKind } from '../discovery/DiscoveryEvent'
import type { DiscoveryEvent } from '../discovery/DiscoveryEvent'
import { DiscoveryMachine } from '../discovery/DiscoveryMachine'
import { JobRelay, RelayActionKind, RelayEventKind } from './JobRelay'
import type { RelayAction, RelayEvent } from './JobRelay'

const HOSTS = ['a', 'b', 'c']
const MAX_TERM = 6
const spec = create(SteppedJobSchema, { jobId: 'j' })

/** The leader of each term, as one instance is elected in a term. */
const leaderOf = (term: number): string => HOSTS[term % HOSTS.length] ?? ''

/** What happens to an entry: the time before it, and what it hears or is asked. */
type Incident =
  | { readonly what: 'directory'; readonly from: string; readonly term: number }
  | { readonly what: 'lost'; readonly from: string; readonly term: number }
  | { readonly what: 'message'; readonly term: number }
  | { readonly what: 'request' }

const incident = fc.record({
  afterMs: fc.constantFrom(0, 10, 100, 300, 500, 2_000),
  event: fc.oneof(
    fc.record({
      what: fc.constant('directory' as const),
      from: fc.constantFrom(...HOSTS),
      term: fc.integer({ min: 1, max: MAX_TERM }),
    }),
    fc.record({
      what: fc.constant('lost' as const),
      from: fc.constantFrom(...HOSTS),
      term: fc.integer({ min: 1, max: MAX_TERM }),
    }),
    fc.record({
      what: fc.constant('message' as const),
      term: fc.integer({ min: 1, max: MAX_TERM }),
    }),
    fc.record({ what: fc.constant('request' as const) }),
  ),
})

/** An entry: discovery, which tells the relay of each leader. */
class Entry {
  /** Terms in which requests were sent, in order. */
  readonly sentTerms: number[] = []
  readonly #discovery = new DiscoveryMachine({
    instance: 'entry',
    zone: 'z',
    hostsVoter: false,
    seeds: HOSTS,
    startedAt: 0,
  })
  readonly #relay = new JobRelay()
  #requests = 0
  #now = 0
  #term = 0

  wait(ms: number): void {
    for (const end = this.#now + ms; this.#now < end;) {
      this.#now += 10
      this.#onDiscovery(this.#discovery.tick(this.#now))
      this.#onRelay(this.#relay.tick(this.#now))
    }
  }

  suffer(event: Incident): void {
    switch (event.what) {
      case 'directory':
        this.#hear(this.#directory(event.from, leaderOf(event.term), event.term))
        return
      case 'lost':
        this.#hear(this.#directory(event.from, '', event.term))
        return
      case 'message': {
        const kind = DiscoveryEventKind.LeaderMessageReceived
        this.#hear({ kind, from: leaderOf(event.term), term: event.term })
        return
      }
      case 'request': {
        const requestId = `${++this.#requests}`
        const times = { receivedAt: this.#now, deadlineAt: this.#now + 1_500 }
        const place = { host: 'h', path: '/p/j' }
        this.#tell({ kind: RelayEventKind.Submit, requestId, spec, ...place, ...times })
      }
    }
  }

  #directory(from: string, leader: string, term: number): DiscoveryEvent {
    const directory = create(InstanceDirectorySchema, { voterHosts: HOSTS, leader, term })
    return { kind: DiscoveryEventKind.DirectoryReceived, from, directory }
  }

  #hear(event: DiscoveryEvent): void {
    this.#onDiscovery(this.#discovery.step(this.#now, event))
  }

  #tell(event: RelayEvent): void {
    this.#onRelay(this.#relay.step(this.#now, event))
  }

  #onDiscovery(actions: readonly DiscoveryAction[]): void {
    for (const action of actions) {
      if (action.kind === DiscoveryActionKind.LeaderChanged) {
        this.#term = action.term
        const { leader, term } = action
        this.#tell({ kind: RelayEventKind.Leader, leader, term })
      } else if (action.kind === DiscoveryActionKind.QuorumUnreachable) {
        this.#tell({ kind: RelayEventKind.QuorumUnreachable })
      }
    }
  }

  #onRelay(actions: readonly RelayAction[]): void {
    for (const action of actions) {
      if (action.kind !== RelayActionKind.Send) continue
      assert.equal(action.to, leaderOf(this.#term), 'sent to the leader of the term')
      this.sentTerms.push(this.#term)
    }
  }
}

describe('an entry', () => {
  it('sends no request to an earlier leader than it has sent one to before', () => {
    const incidents = fc.array(incident, { maxLength: 40 })
    const check = fc.property(incidents, (all) => {
      const entry = new Entry()
      for (const { afterMs, event } of all) {
        entry.wait(afterMs)
        entry.suffer(event)
      }
      const sorted = [...entry.sentTerms].sort((one, other) => one - other)
      assert.deepEqual(entry.sentTerms, sorted)
    })
    fc.assert(check, { numRuns: 100 })
  })
})
