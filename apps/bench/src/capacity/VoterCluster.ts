import { create, toBinary } from '@bufbuild/protobuf'
import {
  ControlActionKind,
  ControlEventKind,
  initialDiskId,
  shippedPresets,
  VoterMachine,
  VoterRole,
} from '@cherryhitch/control'
import type { ControlAction, ControlEvent } from '@cherryhitch/control'
import type { Command, ControlSnapshot, EnvelopeBody, SettingsState } from '@cherryhitch/protocol'
import {
  ControlSnapshotSchema,
  EnvelopeSchema,
  ProposeSchema,
  ReadControlSchema,
  SettingsAppliedSchema,
} from '@cherryhitch/protocol'

const CLUSTER = 'capacity'
const TICK_MS = 25
const ELECTION_MS = 10_000

export interface Traffic {
  messages: number
  bytes: number
}

interface Delivery {
  readonly from: string
  readonly to: string
  readonly body: EnvelopeBody
}

/** What the voters hold before the first entry. */
export function firstSnapshot(voters: readonly string[]): ControlSnapshot {
  return create(ControlSnapshotSchema, {
    schemaVersion: 1,
    settings: { version: 1, preset: 'ordinary', definitions: [...shippedPresets] },
    voters: voters.map((instance) => ({ instance, diskId: initialDiskId(instance, CLUSTER) })),
  })
}

/** Voters in one process whose writes are synced at once, and followers that ask and confirm. */
export class VoterCluster {
  now = 1_000_000
  readonly traffic: Traffic = { messages: 0, bytes: 0 }
  /** Of the leader: received and sent. */
  readonly leaderTraffic: Traffic = { messages: 0, bytes: 0 }
  readonly persisted: Traffic = { messages: 0, bytes: 0 }
  countsBytes = false
  private readonly machines: ReadonlyMap<string, VoterMachine>
  private queue: Delivery[] = []
  private requests = 0

  constructor(
    voters: number,
    readonly followers: readonly string[] = [],
  ) {
    const names = Array.from({ length: voters }, (_, n) => `voter-${n}`)
    const snapshot = firstSnapshot(names)
    this.machines = new Map(
      names.map((instance, seed) => {
        const diskId = initialDiskId(instance, CLUSTER)
        const stored = { diskId, term: 0, votedFor: '', snapshot, entries: [] }
        return [instance, new VoterMachine({ instance, seed: seed + 1 }, stored)]
      }),
    )
    this.pass(ELECTION_MS)
  }

  get leader(): string {
    for (const [name, machine] of this.machines) {
      if (machine.role === VoterRole.Leader) return name
    }
    throw new Error('no voter leads')
  }

  get settings(): SettingsState {
    const settings = this.machines.get(this.leader)?.settings
    if (settings === undefined) throw new Error('the leader has no settings')
    return settings
  }

  pass(ms: number): void {
    for (const end = this.now + ms; this.now < end; this.now += TICK_MS) {
      for (const [name, machine] of this.machines) this.take(name, machine.tick(this.now))
      this.deliver()
    }
  }

  propose(command: Command, from = 'proposer'): void {
    const requestId = `q${++this.requests}`
    const value = create(ProposeSchema, { requestId, command })
    this.queue.push({ from, to: this.leader, body: { case: 'propose', value } })
    this.deliver()
  }

  /** Every follower asks for the settings once, as it does each second. */
  poll(): void {
    const { leader } = this
    for (const from of this.followers) {
      const requestId = `${from}.1764700000000.poll.${++this.requests}`
      const value = create(ReadControlSchema, { requestId, auditFrom: -1 })
      this.queue.push({ from, to: leader, body: { case: 'readControl', value } })
    }
    this.deliver()
  }

  private deliver(): void {
    for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
      this.count(next)
      const { from, to, body } = next
      const machine = this.machines.get(to)
      if (machine === undefined) this.follow(next)
      else this.step(to, machine, { kind: ControlEventKind.Received, from, boot: 1, body })
    }
  }

  /** A follower confirms what it is told to apply. */
  private follow({ from, to, body }: Delivery): void {
    if (body.case !== 'settingsNotice') return
    const version = body.value.settings?.version ?? 0
    const value = create(SettingsAppliedSchema, { version, atMs: this.now })
    this.queue.push({ from: to, to: from, body: { case: 'settingsApplied', value } })
  }

  private step(name: string, machine: VoterMachine, event: ControlEvent): void {
    this.take(name, machine.step(this.now, event))
  }

  private take(from: string, actions: readonly ControlAction[]): void {
    for (const action of actions) {
      if (action.kind === ControlActionKind.Send) {
        const { body } = action.envelope
        if (body.case !== undefined) this.queue.push({ from, to: action.to, body })
      }
      if (action.kind !== ControlActionKind.Persist) continue
      this.persisted.messages++
      const machine = this.machines.get(from)
      if (machine === undefined) continue
      this.step(from, machine, { kind: ControlEventKind.Persisted, id: action.batch.id })
    }
  }

  private count({ from, to, body }: Delivery): void {
    if (!this.countsBytes) return
    const bytes = toBinary(EnvelopeSchema, create(EnvelopeSchema, { body })).length
    const { leader } = this
    const counted =
      from === leader || to === leader ? [this.traffic, this.leaderTraffic] : [this.traffic]
    for (const traffic of counted) {
      traffic.messages++
      traffic.bytes += bytes
    }
  }
}
