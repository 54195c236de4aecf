import { create } from '@bufbuild/protobuf'
import { Err, isValidName, Ok } from '@cherryhitch/model'
import { ZoneDrainSchema } from '@cherryhitch/protocol'
import type { SetZoneDrain, ZoneDrain } from '@cherryhitch/protocol'
import type { Result } from 'ts-results'

/** Maximum number of zones in the state. Orders name zones freely, so the state needs a bound. */
export const MAX_ZONES = 256

/** Why an order to drain or to restore a zone was not applied. @internal */
export enum ZoneDrainRefusal {
  /** The order was given before the zone's last change, which it would undo. */
  Outdated = 'outdated',
  Invalid = 'invalid',
}

/** @internal */
export interface RefusedZoneDrain {
  readonly refusal: ZoneDrainRefusal
  readonly detail: string
}

/**
 * Decides an operator's order for a zone.
 *
 * Orders carry no number and may arrive twice, the second time after the opposite order. The
 * settings version that the receiving instance knew tells such a copy from a new order.
 *
 * @param nextVersion - settings version that the change would get
 * @returns the new rows, or undefined if the zone is in the ordered state already
 * @internal
 */
export function changeZoneDrains(
  drains: readonly ZoneDrain[],
  order: SetZoneDrain,
  nextVersion: number,
): Result<ZoneDrain[] | undefined, RefusedZoneDrain> {
  const { zone, drained, fromVersion, operator, reason, atMs } = order
  if (!isValidName(zone)) return refuse(ZoneDrainRefusal.Invalid, 'the zone has no valid name')
  const known = drains.find((row) => row.zone === zone)
  if ((known?.drained ?? false) === drained) return Ok(undefined)
  if (known !== undefined && known.version > fromVersion) {
    const state = known.drained ? 'drained' : 'restored'
    const detail = `zone ${zone} was ${state} in version ${known.version}, after this order was given`
    return refuse(ZoneDrainRefusal.Outdated, detail)
  }
  const others = drains.filter((row) => row !== known)
  if (others.length >= MAX_ZONES) {
    return refuse(ZoneDrainRefusal.Invalid, `the state holds at most ${MAX_ZONES} zones`)
  }
  const version = nextVersion
  return Ok([
    ...others,
    create(ZoneDrainSchema, { zone, drained, version, operator, reason, atMs }),
  ])
}

/**
 * Names of the zones that are drained.
 *
 * @public
 */
export function drainedZonesOf(drains: readonly ZoneDrain[]): ReadonlySet<string> {
  return new Set(drains.filter(({ drained }) => drained).map(({ zone }) => zone))
}

function refuse(refusal: ZoneDrainRefusal, detail: string): Result<never, RefusedZoneDrain> {
  return Err({ refusal, detail })
}
