import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { envelope, LogEntrySchema } from '@cherryhitch/protocol'
import type { EnvelopeBody } from '@cherryhitch/protocol'
import { genesisSnapshot } from '../state/genesis'
import { setPreset } from '../testing/commands'
import { ControlActionKind, VoterRole } from './ControlAction'
import { ControlEventKind } from './ControlEvent'
import { DiskActionKind, DiskEventKind, RecoverableVoter } from './RecoverableVoter'
import type { RecoverableVoterAction } from './RecoverableVoter'
import { defaultVoterTiming } from './VoterOptions'
import type { StoredVoter } from './VoterOptions'

const FRESH: StoredVoter = {
  diskId: 'a-test',
  term: 0,
  votedFor: '',
  snapshot: genesisSnapshot('test', ['a', 'b', 'c']),
  entries: [],
}
const ENTRY = create(LogEntrySchema, { index: 1, term: 2, command: setPreset('c1', 'peak', 1) })

/** Voter `a` of three and what its disk holds, with each write completed or failed by the test. */
class VoterOnDisk {
  now = 0
  readonly voter: RecoverableVoter
  readonly actions: RecoverableVoterAction[] = []

  constructor(stored: StoredVoter | undefined) {
    this.voter = new RecoverableVoter({ instance: 'a', seed: 1 }, stored)
  }

  /** Passes an append message of leader `b`. */
  append(term: number, commitIndex = 0, entries = [ENTRY]): void {
    const body = envelope({
      case: 'appendEntries',
      value: { term, diskId: 'a-test', entries, commitIndex, round: 1 },
    }).body as EnvelopeBody
    this.#perform([{ kind: ControlEventKind.Received, from: 'b', boot: 1, body }])
  }

  /** Ends the write that is under way. */
  endWrite(isStored: boolean): void {
    const writes = this.actions.filter((action) => action.kind === ControlActionKind.Persist)
    const id = writes.at(-1)?.batch.id ?? 0
    if (isStored) this.#perform([{ kind: ControlEventKind.Persisted, id }])
    else this.#perform([{ kind: ControlEventKind.PersistFailed, id, reason: 'no space left' }])
  }

  open(stored: StoredVoter): void {
    this.#perform([{ kind: DiskEventKind.Opened, stored }])
  }

  failOpening(reason = 'no space left'): void {
    this.#perform([{ kind: DiskEventKind.OpenFailed, reason }])
  }

  /** Advances the time until the voter asks for its disk; returns how long that took. */
  awaitOpening(): number {
    const startedAt = this.now
    const before = this.#count(DiskActionKind.Open)
    while (this.#count(DiskActionKind.Open) === before) {
      this.now += 10
      this.actions.push(...this.voter.tick(this.now))
      assert.ok(
        this.now - startedAt <= defaultVoterTiming.reopenMaxMs + 10,
        'no opening is asked for',
      )
    }
    return this.now - startedAt
  }

  /** Kinds of messages that were sent. */
  sent(): readonly (string | undefined)[] {
    const sends = this.actions.filter((action) => action.kind === ControlActionKind.Send)
    return sends.map(({ envelope: message }) => message.body.case)
  }

  lines(): readonly string[] {
    return this.actions
      .filter((action) => action.kind === ControlActionKind.Log)
      .map(({ line }) => line)
  }

  #count(kind: RecoverableVoterAction['kind']): number {
    return this.actions.filter((action) => action.kind === kind).length
  }

  #perform(events: Parameters<RecoverableVoter['stepAll']>[1]): void {
    this.actions.push(...this.voter.stepAll(this.now, events))
  }
}

/** A voter that accepted an entry of term 2, the write of which has failed. */
function failedVoter(): VoterOnDisk {
  const host = new VoterOnDisk(FRESH)
  host.now = 1_000
  host.append(2)
  host.endWrite(false)
  return host
}

describe('a voter whose write has failed', () => {
  it('asks for its disk again, at growing intervals up to the upper bound', () => {
    const host = failedVoter()
    const delays = [host.awaitOpening()]
    for (let attempt = 0; attempt < 6; attempt++) {
      host.failOpening()
      delays.push(host.awaitOpening())
    }
    assert.deepEqual(delays, [100, 200, 400, 800, 1_000, 1_000, 1_000])
  })

  it('acknowledges nothing and gives no vote until it is read back', () => {
    const host = failedVoter()
    host.append(2)
    host.awaitOpening()
    assert.deepEqual(host.sent(), [])
    host.open(FRESH)
    host.append(2)
    assert.deepEqual(host.sent(), [], 'the entry is accepted, but not synced yet')
    host.endWrite(true)
    assert.deepEqual(host.sent(), ['appendReply'])
  })

  it('has the term and the entries that the disk holds, not those in memory', () => {
    const host = failedVoter()
    assert.equal(host.voter.machine?.term, 2)
    host.awaitOpening()
    host.open(FRESH)
    assert.equal(host.voter.machine.term, 0)
    assert.equal(host.voter.machine.lastIndex, 0)
    assert.equal(host.voter.machine.role, VoterRole.Follower)
  })

  // A next leader counts the leases of earlier leaders from this time: with the time of the launch,
  // or without the leader that is followed again, a task runs twice.
  it('keeps when it last followed a leader, of any term', () => {
    const host = failedVoter()
    assert.equal(host.voter.machine?.followedBefore(3), 1_000)
    host.awaitOpening()
    host.open(FRESH)
    assert.equal(host.voter.machine.followedBefore(3), 1_000)
    assert.equal(host.voter.machine.followedBefore(1), 1_000, 'the disk may hold an earlier term')
  })

  it('records that it follows a leader of an earlier term again', () => {
    const host = new VoterOnDisk(FRESH)
    host.append(1, 0, [])
    host.endWrite(true)
    host.now = 500
    host.append(2)
    host.endWrite(false)
    host.awaitOpening()
    host.open({ ...FRESH, term: 1 })
    host.now = 900
    host.append(1, 0, [])
    assert.equal(host.voter.machine?.followedBefore(2), 900)
  })

  it('waits for the usual election timeout, as it has heard from leaders', () => {
    const host = failedVoter()
    host.awaitOpening()
    host.open(FRESH)
    const openedAt = host.now
    const roles = (): VoterRole | undefined => host.voter.machine?.role
    while (roles() === VoterRole.Follower) {
      host.now += 10
      host.voter.tick(host.now)
    }
    assert.ok(host.now - openedAt >= defaultVoterTiming.electionMinMs)
  })

  it('never passes on settings that are older than those in force', () => {
    const host = new VoterOnDisk(FRESH)
    host.append(2, 1)
    host.endWrite(true)
    assert.equal(host.voter.settings?.version, 2)
    host.append(2, 1, [create(LogEntrySchema, { ...ENTRY, index: 2 })])
    host.endWrite(false)
    host.awaitOpening()
    host.actions.length = 0
    host.open(FRESH)
    assert.equal(host.voter.machine?.settings?.version, 1, 'the snapshot on the disk is older')
    assert.equal(host.voter.settings.version, 2)
    host.append(2, 1)
    const changes = host.actions.filter(({ kind }) => kind === ControlActionKind.SettingsChanged)
    assert.deepEqual(changes, [])
  })

  it('logs when the disk is lost and regained, and each reason in between once', () => {
    const host = failedVoter()
    for (const reason of ['no space left', 'no space left', 'input/output error']) {
      host.awaitOpening()
      host.failOpening(reason)
    }
    host.awaitOpening()
    host.open(FRESH)
    const lines = host
      .lines()
      .map((line) => /write failed|cannot be opened|open again/.exec(line)?.[0])
    assert.deepEqual(lines, ['write failed', 'cannot be opened', 'cannot be opened', 'open again'])
    const { counters } = host.voter
    assert.deepEqual(counters, {
      disk_open: 1,
      disk_failures: 1,
      disk_open_failures: 3,
      disk_openings: 1,
    })
  })
})

describe('a voter whose disk cannot be opened at the start', () => {
  it('begins once the disk can be opened', () => {
    const host = new VoterOnDisk(undefined)
    host.failOpening()
    host.append(2)
    assert.equal(host.voter.machine, undefined)
    assert.equal(host.voter.counters.disk_open, 0)
    host.awaitOpening()
    host.open(FRESH)
    host.append(2)
    host.endWrite(true)
    assert.deepEqual(host.sent(), ['appendReply'])
    assert.equal(host.voter.settings?.version, 1)
  })
})
