import type { Deployment } from '@cherryhitch/stand-ins'
import { placeInstances } from '@cherryhitch/stand-ins'
import { findFreePorts } from './findFreePorts'

/** An instance and the ports it listens on. */
export interface InstancePlace {
  readonly instance: string
  readonly zone: string
  readonly voter: boolean
  readonly callers: number
  readonly endpoints: number
  readonly operators: number
  readonly instances: number
}

const PORTS_PER_INSTANCE = 4
const VOTERS = 3

/** Gives every instance of a deployment its ports; one voter in each of the first three zones. */
export async function placeSystem(deployment: Deployment): Promise<readonly InstancePlace[]> {
  const placed = placeInstances(deployment)
  const ports = await findFreePorts(placed.length * PORTS_PER_INSTANCE)
  const voterZones = new Set(deployment.zones.slice(0, VOTERS))
  return placed.map(({ instance, zone }, index) => {
    const voter = voterZones.delete(zone)
    const [callers = 0, endpoints = 0, operators = 0, instances = 0] = ports.slice(
      index * PORTS_PER_INSTANCE,
    )
    return { instance, zone, voter, callers, endpoints, operators, instances }
  })
}

/** Name of the link that one instance dials another through. */
export function linkName(from: InstancePlace, to: InstancePlace): string {
  return `${from.instance}>${to.instance}`
}

/** Pairs of instances in different zones: the network between zones lies between them. */
export function crossZonePairs(
  places: readonly InstancePlace[],
): readonly (readonly [InstancePlace, InstancePlace])[] {
  return places.flatMap((from) =>
    places.filter((to) => to.zone !== from.zone).map((to) => [from, to] as const),
  )
}
