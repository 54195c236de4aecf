import type { EndpointCapacity } from '@cherryhitch/protocol'
import { needsAtLeast } from './needsAtLeast'
import { SlotForecast } from './SlotForecast'
import type { SlotClass } from './SlotForecast'
import type { SpeedNeed } from './SpeedNeed'

/** Least share of a run time by which a task has to end earlier after a wait for a faster slot. */
const LEAST_GAIN = 0.1

/** What to do with a task that fits at a free endpoint. @internal */
export enum SpeedDecision {
  Start = 'start',
  /** It ends earlier if it waits for a faster endpoint. */
  Wait = 'wait',
  /** It ends late, so the free endpoint is left to tasks that are in time there. */
  Defer = 'defer',
}

/** A free endpoint that was the fastest one for a task. */
interface FastestFree {
  readonly needs: EndpointCapacity
  readonly slowness: number
}

/**
 * Decides in one scheduling round which tasks wait for a faster slot than the free ones. Each of
 * them is assigned a slot in a forecast, so that they don't all wait for the same one.
 *
 * @internal
 */
export class FasterSlots {
  #isForecastReady = false
  #fastestFree: FastestFree | undefined

  /**
   * @param readSlots - the slots that become free later, called once a task may have to wait; the
   *   free ones are left out, since a task that could use them isn't asked about
   * @param forecast - used by this round alone
   */
  constructor(
    private readonly readSlots: () => readonly SlotClass[],
    private readonly forecast = new SlotForecast(),
  ) {}

  /**
   * Decides without looking for an endpoint, as far as is known: an earlier task with no greater
   * needs did not start at the fastest free endpoint.
   *
   * @returns undefined when an endpoint has to be looked for
   */
  decideUnseen(
    need: SpeedNeed,
    runMs: number,
    needs: EndpointCapacity,
  ): SpeedDecision.Wait | SpeedDecision.Defer | undefined {
    if (this.#fastestFree === undefined || !needsAtLeast(needs, this.#fastestFree.needs)) {
      return undefined
    }
    const decision = this.#decide(need, runMs, this.#fastestFree.slowness)
    return decision === SpeedDecision.Start ? undefined : decision
  }

  /**
   * @param runMs - run time at average speed
   * @param slowness - that of the best free endpoint for the task
   */
  decide(need: SpeedNeed, runMs: number, needs: EndpointCapacity, slowness: number): SpeedDecision {
    const decision = this.#decide(need, runMs, slowness)
    if (decision !== SpeedDecision.Start) this.#fastestFree = { needs, slowness }
    return decision
  }

  #decide(need: SpeedNeed, runMs: number, slowness: number): SpeedDecision {
    if (slowness <= need.easySlowness) return SpeedDecision.Start
    if (this.#waits(runMs, slowness)) return SpeedDecision.Wait
    return slowness <= need.maxSlowness ? SpeedDecision.Start : SpeedDecision.Defer
  }

  #waits(runMs: number, slowness: number): boolean {
    const forecast = this.#readyForecast()
    if (forecast.peekEnd(runMs) + LEAST_GAIN * runMs >= slowness * runMs) return false
    forecast.take(runMs, -Infinity)
    return true
  }

  #readyForecast(): SlotForecast {
    if (!this.#isForecastReady) this.forecast.reset(this.readSlots())
    this.#isForecastReady = true
    return this.forecast
  }
}
