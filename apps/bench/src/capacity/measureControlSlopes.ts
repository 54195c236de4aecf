import { create, toBinary } from '@bufbuild/protobuf'
import { ControlState, defaultControlStateOptions, shippedPresets } from '@cherryhitch/control'
import type { Command } from '@cherryhitch/protocol'
import {
  CommandResult,
  CommandSchema,
  ControlSnapshotSchema,
  JobAnswerSchema,
} from '@cherryhitch/protocol'
import { head, heldBytes, medianOf, processorUs, row, slopeOf } from './measuring'
import { instanceName, makeJobId } from './samples'
import { firstSnapshot, VoterCluster } from './VoterCluster'

const NOW = 1_764_700_000_000
const AFTER_CHANGE_MS = 1000
const VOTERS = 3

function makeClaims(entry: number, claims: number): Command {
  return create(CommandSchema, {
    commandId: `claims.${instanceName(0)}.${NOW}.${entry}`,
    change: {
      case: 'claimKeys',
      value: {
        claims: Array.from({ length: claims }, (_, n) => ({
          caller: `team-${n % 380}`,
          submissionKey: `notice-${entry}-${n}-7d0c61a2`,
          jobId: makeJobId(entry * claims + n),
          contentHash: 'e'.repeat(64),
          atMs: NOW + n,
        })),
      },
    },
  })
}

function makeEnds(entry: number, claims: number): Command {
  const value = { state: 2, outcome: 1, outputs: [`"${'y'.repeat(200)}"`], tasks: 1, tasksEnded: 1 }
  return create(CommandSchema, {
    commandId: `ends.${instanceName(0)}.${NOW}.${entry}`,
    change: {
      case: 'endClaims',
      value: {
        ends: Array.from({ length: claims }, (_, n) => ({
          caller: `team-${n % 380}`,
          submissionKey: `notice-${entry}-${n}-7d0c61a2`,
          jobId: makeJobId(entry * claims + n),
          answer: toBinary(JobAnswerSchema, create(JobAnswerSchema, value)),
          atMs: NOW + n,
        })),
      },
    },
  })
}

function makeChange(version: number): Command {
  const by = { operator: 'sato', reason: 'morning peak of the counters', atMs: NOW + version }
  const name = shippedPresets[version % 2]?.name ?? ''
  const value = { name, fromVersion: version, ...by }
  return create(CommandSchema, {
    commandId: `change-${version}-0f21`,
    change: { case: 'setPreset', value },
  })
}

function makeDefinition(version: number): Command {
  const by = { operator: 'sato', reason: 'morning peak of the counters', atMs: NOW + version }
  const [definition] = shippedPresets
  if (definition === undefined) throw new Error('no preset ships')
  const changed = { ...definition, jobsInFlightPerInstance: 1000 + (version % 100) }
  const value = { definition: changed, fromVersion: version, ...by }
  return create(CommandSchema, {
    commandId: `change-${version}-0f21`,
    change: { case: 'definePreset', value },
  })
}

function measureClaims(): void {
  const columns = ['claims an entry', 'µs a claim, 3 voters', 'messages a claim', 'bytes a claim']
  head('Voters: claims and their ends, 3 voters in one process', ...columns)
  for (const perEntry of [1, 10, 100]) {
    const total = 6000
    const cluster = new VoterCluster(VOTERS)
    let entry = 0
    const pass = (count: number): void => {
      for (let n = 0; n < count; n += perEntry) {
        cluster.propose(makeClaims(entry, perEntry))
        cluster.propose(makeEnds(entry++, perEntry))
      }
    }
    pass(total)
    const us = medianOf(() =>
      processorUs(() => {
        pass(total)
      }),
    )
    cluster.countsBytes = true
    pass(total)
    const { messages, bytes } = cluster.traffic
    row(perEntry, us / total, messages / total, bytes / total)
  }
}

function measureChanges(): void {
  const columns = ['followers', 'µs', 'messages', 'bytes', 'bytes at the leader']
  head('Voters: one change of settings until it is recorded everywhere', ...columns)
  for (const count of [7, 30, 100, 300, 700]) {
    const cluster = makeFollowed(count)
    const changes = 5
    const change = (): void => {
      cluster.poll()
      cluster.propose(makeChange(cluster.settings.version))
      cluster.pass(AFTER_CHANGE_MS)
    }
    const idle = (): void => {
      cluster.poll()
      cluster.pass(AFTER_CHANGE_MS)
    }
    change()
    const quiet = measureRounds(cluster, idle, changes)
    const busy = measureRounds(cluster, change, changes)
    const [us, messages, bytes, atLeader] = busy.map((value, n) => value - (quiet[n] ?? 0))
    row(count, us ?? 0, messages ?? 0, bytes ?? 0, atLeader ?? 0)
    idleRows.push([count, ...quiet])
  }
  const idleColumns = ['followers', 'µs/s', 'messages/s', 'bytes/s', 'bytes/s at the leader']
  head('Voters: one idle second, each follower asking once', ...idleColumns)
  for (const cells of idleRows) row(...cells)
}

const idleRows: number[][] = []

function makeFollowed(count: number): VoterCluster {
  const followers = Array.from({ length: count }, (_, n) => instanceName(n + 1))
  return new VoterCluster(VOTERS, followers)
}

/** Median processor µs, then messages, bytes, and bytes at the leader, of one round. */
function measureRounds(cluster: VoterCluster, round: () => void, rounds: number): number[] {
  const us = medianOf(() => processorUs(round))
  cluster.countsBytes = true
  const { traffic, leaderTraffic } = cluster
  const before = [traffic.messages, traffic.bytes, leaderTraffic.bytes]
  for (let n = 0; n < rounds; n++) round()
  const after = [traffic.messages, traffic.bytes, leaderTraffic.bytes]
  cluster.countsBytes = false
  return [us, ...after.map((value, n) => (value - (before[n] ?? 0)) / rounds)]
}

function makeState(): ControlState {
  return new ControlState(firstSnapshot(['voter-0']), defaultControlStateOptions)
}

function apply(state: ControlState, command: Command): void {
  const { result, detail } = state.apply(command)
  if (result !== CommandResult.APPLIED) throw new Error(detail)
}

const fillers: readonly (readonly [string, (state: ControlState, n: number) => void])[] = [
  [
    'claim that runs',
    (state, n) => {
      apply(state, makeClaims(n, 1))
    },
  ],
  [
    'claim that ended, answer of 200 bytes',
    (state, n) => {
      apply(state, makeClaims(n, 1))
      apply(state, makeEnds(n, 1))
    },
  ],
  [
    'change of preset',
    (state, n) => {
      apply(state, makeChange(n + 1))
    },
  ],
  [
    'change of a definition',
    (state, n) => {
      apply(state, makeDefinition(n + 1))
    },
  ],
  [
    'confirmation of one instance',
    (state, n) => {
      const instances = [{ instance: instanceName(n % 300), boot: NOW, version: n, atMs: NOW + n }]
      const change = { case: 'recordInForce' as const, value: { instances } }
      const commandId = `in-force.voter-0-capacity.1.${n}`
      apply(state, create(CommandSchema, { commandId, change }))
    },
  ],
]

function measureState(): void {
  const columns = [
    'what',
    'sizes',
    'heap kB at each',
    'heap bytes each',
    'snapshot bytes each',
    'µs each',
  ]
  head('Control state', ...columns)
  const sizes = [3000, 10_000, 30_000]
  for (const [what, fill] of fillers) {
    const make = (size: number): ControlState => {
      const state = makeState()
      for (let n = 0; n < size; n++) fill(state, n)
      return state
    }
    const points = sizes.map((size) => [size, medianOf(() => heldBytes(() => make(size)))] as const)
    const stored = sizes.map((size) => {
      const snapshot = make(size).snapshot(1, 1)
      return [size, toBinary(ControlSnapshotSchema, snapshot).length] as const
    })
    const size = sizes[1] ?? 0
    const us = medianOf(() => processorUs(() => make(size))) / size
    const kilobytes = points.map(([, bytes]) => (bytes / 1000).toFixed(0)).join(', ')
    row(what, sizes.join(', '), kilobytes, slopeOf(points), slopeOf(stored), us)
  }
}

/** Prints what the replicated log costs. */
export function measureControlSlopes(): void {
  measureState()
  measureClaims()
  measureChanges()
}
