import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { shippedPresets } from '@cherryhitch/control'
import type { Envelope } from '@cherryhitch/protocol'
import {
  envelope,
  EnvelopeBatchSchema,
  EnvelopeSchema,
  InstanceState,
  Outcome,
} from '@cherryhitch/protocol'
import { head, medianOf, processorUs, row } from './measuring'
import { instanceName, makeAnnouncement, makeJobId, makePlacement, makeSummaries } from './samples'

const ROUNDS = 2000

function reports(tasks: number): Envelope {
  const list = Array.from({ length: tasks }, (_, index) => ({
    index,
    outcome: Outcome.SUCCEEDED,
    output: `"${'y'.repeat(200)}"`,
    endpoint: 'tracing-worker-17',
    rack: 'rack-2',
    queuedMs: 12.25,
    runMs: 301.5,
  }))
  return envelope({
    case: 'taskReports',
    value: { jobs: [{ jobId: makeJobId(1), reports: list }] },
  })
}

function heartbeatOf(services: number): Envelope {
  return envelope({
    case: 'instanceHeartbeat',
    value: {
      zone: 'ishikari-1',
      state: InstanceState.SERVING,
      sequence: 123_456,
      services: makeSummaries(services, 500),
      settingsVersion: 22_000,
      endpointAddress: '10.0.0.1:7002',
      jobsInFlight: 900,
    },
  })
}

function settingsOf(presets: number): Envelope {
  const [shipped] = shippedPresets
  if (shipped === undefined) throw new Error('no preset ships')
  const definitions = Array.from({ length: presets }, (_, n) => ({
    ...shipped,
    name: `preset-${n}`,
  }))
  const value = {
    settings: { version: 22_000, preset: 'preset-0', definitions, auditHash: 'f'.repeat(64) },
  }
  return envelope({ case: 'settingsNotice', value })
}

const messages: readonly (readonly [string, number, (size: number) => Envelope])[] = [
  ...[1, 8, 120].map(
    (n) =>
      [
        'PlaceTasks, tasks, payload 202 bytes',
        n,
        (size: number) => envelope({ case: 'placeTasks', value: makePlacement(1, size) }),
      ] as const,
  ),
  ...[1, 8, 120].map((n) => ['TaskReports, tasks, output 202 bytes', n, reports] as const),
  ...[0, 8, 22].map(
    (n) =>
      [
        'ForwardHeartbeat, running tasks',
        n,
        (size: number) =>
          envelope({
            case: 'forwardHeartbeat',
            value: { announcement: makeAnnouncement(17, size) },
          }),
      ] as const,
  ),
  ...[1, 4, 16].map((n) => ['InstanceHeartbeat, services', n, heartbeatOf] as const),
  ...[3, 10, 30].map((n) => ['SettingsNotice, presets', n, settingsOf] as const),
  ...[1, 30, 300].map(
    (n) =>
      [
        'HandOverEndpoints, endpoints of 22 tasks',
        n,
        (size: number) =>
          envelope({
            case: 'handOverEndpoints',
            value: {
              endpoints: Array.from({ length: size }, (_, at) => {
                const announcement = makeAnnouncement(at, 22)
                const dispatchedTaskIds = announcement.runningTaskIds
                return { announcement, dispatchedTaskIds, connectionsHeld: 30 }
              }),
            },
          }),
      ] as const,
  ),
]

function batchOf(one: Envelope): Uint8Array {
  const batch = { from: instanceName(0), fromBoot: 1_764_700_000_000, sequence: 1000 }
  return toBinary(EnvelopeBatchSchema, create(EnvelopeBatchSchema, { ...batch, envelopes: [one] }))
}

/** Prints the size of messages on the wire, and what their codec costs. */
export function measureWire(): void {
  const columns = [
    'message',
    'size',
    'bytes',
    'bytes in a batch of its own',
    'µs to write',
    'µs to read',
  ]
  head('Messages between instances (protobuf, without HTTP/2 frames)', ...columns)
  for (const [what, size, make] of messages) {
    const one = make(size)
    const bytes = toBinary(EnvelopeSchema, one)
    const rounds = Math.max(20, Math.round(ROUNDS / Math.max(1, size / 4)))
    const timed = (work: () => void): number =>
      medianOf(() =>
        processorUs(() => {
          for (let n = 0; n < rounds; n++) work()
        }),
      ) / rounds
    const write = timed(() => toBinary(EnvelopeSchema, one))
    const read = timed(() => fromBinary(EnvelopeSchema, bytes))
    row(what, size, bytes.length, batchOf(one).length, write, read)
  }
}
