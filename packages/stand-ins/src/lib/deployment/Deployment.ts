import type { ResourcesBody } from '@cherryhitch/model'

/** A user's deployment as data: its availability zones, workers, instances and distances. @public */
export interface Deployment {
  readonly name: string
  readonly region: string
  readonly zones: readonly string[]
  readonly service: string
  readonly workers: number
  readonly slots: number
  readonly connections: number
  readonly capacity: ResourcesBody
  readonly workersPerRack: number
  readonly instances: number
  /** Milliseconds one way between two availability zones. */
  readonly zoneDelayMs: number
  /** Milliseconds one way between a caller and the system. */
  readonly callerDelayMs: number
}

const MB_PER_GB = 1024

/** The two deployments of the brief, "Sizes of today". @public */
export const deployments = {
  kitaura: {
    name: 'kitaura',
    region: 'ishikari',
    zones: ['ishikari-1', 'ishikari-2', 'ishikari-3'],
    service: 'tracing',
    workers: 33,
    slots: 8,
    connections: 64,
    capacity: { cores: 32, memoryMb: 64 * MB_PER_GB },
    workersPerRack: 8,
    instances: 7,
    zoneDelayMs: 1.5,
    callerDelayMs: 3,
  },
  sabarmati: {
    name: 'sabarmati',
    region: 'west-gujarat',
    zones: ['west-gujarat-1', 'west-gujarat-2', 'west-gujarat-3', 'west-gujarat-4'],
    service: 'recovery-claims',
    workers: 32,
    slots: 8,
    connections: 64,
    capacity: { cores: 16, memoryMb: 32 * MB_PER_GB },
    workersPerRack: 6,
    instances: 7,
    zoneDelayMs: 1,
    callerDelayMs: 1,
  },
} as const satisfies Record<string, Deployment>

/** One worker's endpoint in its place. @public */
export interface PlacedEndpoint {
  readonly endpoint: string
  readonly zone: string
  readonly rack: string
}

/** One instance in its place. @public */
export interface PlacedInstance {
  readonly instance: string
  readonly zone: string
}

/** How many of the items each zone gets: as evenly as can be, the first zones one more. */
function countsPerZone(zones: readonly string[], items: number): { zone: string; count: number }[] {
  const base = Math.floor(items / zones.length)
  const extra = items % zones.length
  return zones.map((zone, index) => ({ zone, count: base + (index < extra ? 1 : 0) }))
}

/** Spreads the workers over the zones; racks belong to one zone and the last may be part full. @public */
export function placeEndpoints(deployment: Deployment): readonly PlacedEndpoint[] {
  const { zones, workers, workersPerRack } = deployment
  return countsPerZone(zones, workers).flatMap(({ zone, count }) =>
    Array.from({ length: count }, (_, index) => ({
      endpoint: `${zone}-w${index + 1}`,
      zone,
      rack: `${zone}-r${Math.floor(index / workersPerRack) + 1}`,
    })),
  )
}

/** Spreads the instances over the zones. @public */
export function placeInstances(deployment: Deployment): readonly PlacedInstance[] {
  return countsPerZone(deployment.zones, deployment.instances).flatMap(({ zone, count }) =>
    Array.from({ length: count }, (_, index) => ({
      instance: `${zone}${'abcdefghij'.charAt(index)}`,
      zone,
    })),
  )
}

/** Slots of all workers together. @public */
export function totalSlots({ workers, slots }: Deployment): number {
  return workers * slots
}

/**
 * The network's own part of every response, in milliseconds: from the caller to the system and
 * back. Endpoints of the same availability zone are taken to be no distance away.
 *
 * @public
 */
export function networkFloorMs({ callerDelayMs }: Deployment): number {
  return 2 * callerDelayMs
}
