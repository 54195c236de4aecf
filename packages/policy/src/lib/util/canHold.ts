import type { Resources } from '@cherryhitch/protocol'

/**
 * Whether an otherwise idle endpoint with the resources `largest` could run a task. An unknown size
 * counts as large enough, because a task must not be refused permanently without proof.
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
