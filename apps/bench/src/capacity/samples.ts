import { create } from '@bufbuild/protobuf'
import { formatJobId } from '@cherryhitch/model'
import type { InstanceView } from '@cherryhitch/model'
import {
  EndpointAnnouncementSchema,
  EndpointState,
  InstanceState,
  JobSpecSchema,
  PlaceTasksSchema,
  ServiceSummarySchema,
} from '@cherryhitch/protocol'
import type {
  EndpointAnnouncement,
  JobSpec,
  PlaceTasks,
  ServiceSummary,
} from '@cherryhitch/protocol'

export const ZONE = 'ishikari-1'
export const COORDINATOR = 'ishikari-1-a17'
/** The coordinator of placements, another instance than the one that is measured. */
export const PLACER = 'instance-10'
const TRACEPARENT = `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`
const PAYLOAD = `"${'x'.repeat(200)}"`
const BOOT = 1_764_700_000_000
const RACK_SIZE = 8
const SLOTS = 24
const DEADLINE_MS = 600_000

/** A service's name by its number. */
export function serviceName(n: number): string {
  return `tracing-${n}`
}

/** What an endpoint announces, with so many tasks running. */
export function makeAnnouncement(n: number, running = 0, service = 0): EndpointAnnouncement {
  return create(EndpointAnnouncementSchema, {
    endpoint: `tracing-worker-${n}`,
    service: serviceName(service),
    zone: ZONE,
    rack: `rack-${Math.floor(n / RACK_SIZE)}`,
    address: `10.0.${n >> 8}.${n & 255}:9000`,
    slots: SLOTS,
    connections: 64,
    capacity: { cores: 32, memoryMb: 64_000, accelerators: 2 },
    boot: BOOT,
    state: EndpointState.SERVING,
    runningTaskIds: Array.from({ length: running }, (_, i) => `${makeJobId(i)}.${i}`),
    usage: { cores: 12.5, memoryMb: 20_123.5 },
  })
}

export function makeJobId(n: number): string {
  return formatJobId({ coordinator: COORDINATOR, boot: BOOT, sequence: n })
}

/** So many tasks of one job on their way to an owner. */
export function makePlacement(n: number, tasks: number): PlaceTasks {
  return create(PlaceTasksSchema, {
    jobId: makeJobId(n),
    caller: `team-${n % 380}`,
    deadlineInMs: DEADLINE_MS,
    jobRemaining: tasks,
    tasks: Array.from({ length: tasks }, (_, index) => ({
      index,
      spec: { service: serviceName(0), payload: PAYLOAD, resources: { cores: 1, memoryMb: 512 } },
      estimateMs: 300,
    })),
    traceparent: TRACEPARENT,
    coordinator: PLACER,
  })
}

/** A caller's job of so many tasks. */
export function makeJob(n: number, tasks: number): JobSpec {
  return create(JobSpecSchema, {
    caller: `team-${n % 380}`,
    deadlineInMs: DEADLINE_MS,
    idempotent: true,
    tasks: Array.from({ length: tasks }, () => ({ service: serviceName(0), payload: PAYLOAD })),
    traceparent: TRACEPARENT,
  })
}

/** An owner's summaries of so many services. */
export function makeSummaries(services: number, freeSlots = 100_000): ServiceSummary[] {
  return Array.from({ length: services }, (_, n) =>
    create(ServiceSummarySchema, {
      service: serviceName(n),
      endpoints: 26,
      slots: Math.max(624, freeSlots),
      freeSlots,
      queuedTasks: 0,
      waitMs: 0,
      largest: { cores: 32, memoryMb: 64_000, accelerators: 2 },
      meanRunMs: 300.25,
    }),
  )
}

/** A view of so many instances, the first of which sees it. */
export function makeMembers(now: number, instances: number, services: number): InstanceView[] {
  return Array.from({ length: instances }, (_, n) => ({
    instance: instanceName(n),
    boot: BOOT,
    zone: n % 10 === 0 ? ZONE : `zone-${n % 10}`,
    state: InstanceState.SERVING,
    alive: true,
    self: n === 0,
    services: makeSummaries(services),
    heardAt: now,
    roundTripMs: 1,
    endpointAddress: '10.0.0.1:7002',
    settingsVersion: 1,
  }))
}

export function instanceName(n: number): string {
  return n === 0 ? COORDINATOR : `instance-${n}`
}
