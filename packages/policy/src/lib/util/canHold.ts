import type { Resources } from '@cherryhitch/protocol'

/**
 * Tells whether a worker of the size `largest` could hold a task alone. An unknown size holds
 * anything: refusing for good needs proof.
 *
 * @internal
 */
export function canHold(largest: Resources | undefined, needed: Resources | undefined): boolean {
  if (largest === undefined || needed === undefined) return true
  return (
    needed.cores <= largest.cores &&
    needed.memoryMb <= largest.memoryMb &&
    needed.accelerators <= largest.accelerators
  )
}
