import { envelope } from '@cherryhitch/protocol'
import type { EnvelopeBody } from '@cherryhitch/protocol'
import { genesisSnapshot } from '../state/genesis'
import { ControlActionKind, VoterRole } from '../voter/ControlAction'
import type { ControlAction, SendAction } from '../voter/ControlAction'
import { ControlEventKind } from '../voter/ControlEvent'
import { VoterMachine } from '../voter/VoterMachine'

const STEP_MS = 50

/**
 * Voter `a` of three, for tests that pass in each message and decide its order. Its own writes are
 * synced at once.
 */
export class DirectVoter {
  now = 0
  readonly lines: string[] = []
  readonly sent: SendAction[] = []
  readonly machine: VoterMachine

  constructor() {
    const snapshot = genesisSnapshot('test', ['a', 'b', 'c'])
    const stored = { diskId: 'a-test', term: 0, votedFor: '', snapshot, entries: [] }
    this.machine = new VoterMachine({ instance: 'a', seed: 1 }, stored)
  }

  receive(from: string, body: Parameters<typeof envelope>[0]): void {
    const received = envelope(body).body as EnvelopeBody
    const event = { kind: ControlEventKind.Received as const, from, boot: 1, body: received }
    this.#perform(this.machine.step(this.now, event))
  }

  run(ms: number): void {
    const end = this.now + ms
    for (; this.now < end; this.now += STEP_MS) this.#perform(this.machine.tick(this.now))
  }

  /** Makes the voter win an election with the vote of `b`. */
  lead(): void {
    while (this.machine.role !== VoterRole.Leader) {
      this.run(STEP_MS)
      const preVote = this.machine.role === VoterRole.PreCandidate
      const term = this.machine.term + (preVote ? 1 : 0)
      const value = { term, diskId: 'b-test', granted: true, preVote }
      this.receive('b', { case: 'voteReply', value })
    }
  }

  /** Round and last log index of the newest append message to an instance. */
  lastAppendTo(instance: string): { readonly round: number; readonly lastIndex: number } {
    for (const { to, envelope: message } of [...this.sent].reverse()) {
      const { body } = message
      if (to !== instance || body.case !== 'appendEntries') continue
      const { round, previousIndex, entries } = body.value
      return { round, lastIndex: previousIndex + entries.length }
    }
    throw new Error(`no entries were sent to ${instance}`)
  }

  appendReply(instance: string, accepted: boolean, matchIndex: number, round: number): void {
    const { term } = this.machine
    const value = { term, diskId: `${instance}-test`, accepted, matchIndex, round }
    this.receive(instance, { case: 'appendReply', value })
  }

  #perform(actions: readonly ControlAction[]): void {
    for (const action of actions) {
      if (action.kind === ControlActionKind.Log) this.lines.push(action.line)
      if (action.kind === ControlActionKind.Persist) {
        const event = { kind: ControlEventKind.Persisted as const, id: action.batch.id }
        this.#perform(this.machine.step(this.now, event))
      }
      if (action.kind !== ControlActionKind.Send) continue
      this.sent.push(action)
      if (action.to === 'a') this.receive('a', action.envelope.body)
    }
  }
}
