import type { RoutingTable } from '@cherryhitch/protocol'

/** Finds the services whose queues have different priorities. @internal */
export class PrioritizedServices {
  #table: RoutingTable | undefined
  #services: ReadonlySet<string> = new Set()

  has(table: RoutingTable | undefined, service: string): boolean {
    if (table !== this.#table) {
      this.#table = table
      this.#services = findPrioritized(table)
    }
    return this.#services.has(service)
  }
}

function findPrioritized(table: RoutingTable | undefined): ReadonlySet<string> {
  const firstPriority = new Map<string, number>()
  const services = new Set<string>()
  for (const { service, priority } of table?.routes ?? []) {
    const first = firstPriority.get(service) ?? priority
    firstPriority.set(service, first)
    if (priority !== first) services.add(service)
  }
  return services
}
