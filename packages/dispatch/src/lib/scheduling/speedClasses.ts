/**
 * Upper bounds of the slowness of all speed classes but the last, fastest first. Forecasts treat
 * the slots of a class as equal; a bound lies between speeds that differ by about a half.
 */
const CLASS_BOUNDS = [0.8, 1.25, 2] as const

/** Number of speed classes. @internal */
export const SPEED_CLASSES = CLASS_BOUNDS.length + 1

/** Index of the speed class of an endpoint, fastest first. @internal */
export function speedClassOf(slowness: number): number {
  const index = CLASS_BOUNDS.findIndex((bound) => slowness < bound)
  return index < 0 ? CLASS_BOUNDS.length : index
}
