import type { FreeRoom } from '../endpoints/EndpointRecord'
import { Places } from './JobAdmission'
import { placesIn } from './OpenEndpoints'
import { addFreePlace, makeFreeByMs } from './PlaceForecast'
import type { ServiceEndpoints } from './ServiceEndpoints'

/** An endpoint that a new leader has not heard from yet is counted on after this: two ways. */
const ADOPTION_MS = 30

/**
 * When the places of a service's endpoints become free: at once for room that is free, and at the
 * expected end of what runs.
 *
 * @internal
 */
export class ServicePlaces extends Places {
  /** @param needs - what a task of those that wait wants on average */
  constructor(
    private readonly now: number,
    private readonly endpoints: ServiceEndpoints,
    private readonly needs: Readonly<FreeRoom>,
  ) {
    super()
  }

  override get size(): number {
    return this.endpoints.ends.size + this.free(Infinity)
  }

  override free(enough: number): number {
    let free = this.endpoints.open.countPlaces(this.needs, enough)
    for (const { isAdopted, places } of this.#expected()) if (isAdopted) free += places
    return free
  }

  override freeByMs(enough: number): Int32Array {
    const freeByMs = makeFreeByMs()
    addFreePlace(freeByMs, 0, this.endpoints.open.countPlaces(this.needs, enough))
    for (const { isAdopted, places } of this.#expected()) {
      addFreePlace(freeByMs, isAdopted ? 0 : ADOPTION_MS, places)
    }
    this.endpoints.ends.addTo(freeByMs, this.now)
    return freeByMs
  }

  /** Free places of endpoints that get nothing at this moment. */
  *#expected(): Generator<{ readonly isAdopted: boolean; readonly places: number }> {
    for (const endpoint of this.endpoints.expected) {
      const { cpuMillis, memoryMb, gpus } = endpoint.freeRoom()
      const places = placesIn(cpuMillis, memoryMb, gpus, this.needs)
      yield { isAdopted: endpoint.isAdopted, places }
    }
  }
}
