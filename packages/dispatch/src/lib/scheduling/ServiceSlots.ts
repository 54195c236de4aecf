import type { FreeCapacity } from '../endpoints/EndpointRecord'
import { SlotSupply } from './JobAdmission'
import { countSlots } from './AvailableEndpoints'
import { addFreeSlots, makeFreeSlotsByMs } from './SlotForecast'
import type { ServiceEndpoints } from './ServiceEndpoints'
import type { SlotClassCounts } from './SlotClassCounts'
import type { SlotClass } from './SlotForecast'
import { speedClassOf } from './speedClasses'

/**
 * Time after which the free capacity of an endpoint that has not yet reported to this leader is
 * counted, in milliseconds: one round trip.
 */
const ADOPTION_DELAY_MS = 30

/** Free slots of an endpoint that can't receive tasks now but is expected to soon. */
interface ExpectedSlots {
  readonly isAdopted: boolean
  readonly slots: number
  readonly slowness: number
}

/**
 * When the slots of a service's endpoints become free: at once for free capacity, and at their
 * expected end for occupied ones.
 *
 * @internal
 */
export class ServiceSlots extends SlotSupply {
  /** @param needs - mean resource needs of a waiting task, which define the size of a slot */
  constructor(
    private readonly now: number,
    private readonly endpoints: ServiceEndpoints,
    private readonly needs: Readonly<FreeCapacity>,
  ) {
    super()
  }

  override get size(): number {
    return this.endpoints.runEnds.size + this.countFree(Infinity)
  }

  override countFree(enough: number): number {
    let free = this.endpoints.available.countFreeSlots(this.needs, enough)
    for (const { isAdopted, slots } of this.#expected()) if (isAdopted) free += slots
    return free
  }

  override freeByMs(enough: number): Int32Array {
    const freeByMs = makeFreeSlotsByMs()
    addFreeSlots(freeByMs, 0, this.endpoints.available.countFreeSlots(this.needs, enough))
    for (const { isAdopted, slots } of this.#expected()) {
      addFreeSlots(freeByMs, isAdopted ? 0 : ADOPTION_DELAY_MS, slots)
    }
    this.endpoints.runEnds.addFreeSlotsTo(freeByMs, this.now)
    return freeByMs
  }

  /** The result is valid until the next call. */
  override classes(enough: number): readonly SlotClass[] {
    const { available, isUneven } = this.endpoints
    if (!isUneven) return super.classes(enough)
    const classes = this.#collectUpcoming()
    available.visitFreeSlots(this.needs, (slowness, slots) => {
      classes[speedClassOf(slowness)]?.add(0, slots, slowness)
    })
    const filled = classes.filter(({ isEmpty }) => !isEmpty)
    return filled.length === 0 ? super.classes(enough) : filled
  }

  /**
   * The slots that can't be used now but become free, by speed. The result is valid until the next
   * call, also of `classes`.
   */
  upcomingClasses(): readonly SlotClass[] {
    return this.#collectUpcoming().filter(({ isEmpty }) => !isEmpty)
  }

  #collectUpcoming(): readonly SlotClassCounts[] {
    const { runEnds, slotsByClass } = this.endpoints
    for (const one of slotsByClass) one.clear()
    for (const { isAdopted, slots, slowness } of this.#expected()) {
      const afterMs = isAdopted ? 0 : ADOPTION_DELAY_MS
      slotsByClass[speedClassOf(slowness)]?.add(afterMs, slots, slowness)
    }
    runEnds.addFreeSlotsByClass(slotsByClass, this.now)
    return slotsByClass
  }

  /** Free slots of endpoints that can't receive tasks now but are expected to soon. */
  *#expected(): Generator<ExpectedSlots> {
    for (const endpoint of this.endpoints.expected) {
      const { cpuMillis, memoryMb, gpus } = endpoint.freeCapacity()
      const slots = countSlots(cpuMillis, memoryMb, gpus, this.needs)
      const slowness = this.endpoints.slownessOf(this.now, endpoint)
      yield { isAdopted: endpoint.isSynced, slots, slowness }
    }
  }
}
