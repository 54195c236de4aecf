import { DispatchMachine } from '../DispatchMachine'
import type { DispatchSimulationOptions } from './DispatchSimulationOptions'

/** As on the platform of the users, in milliseconds. */
const RESUBMIT_DELAY_MS = 1_300

/** Creates a dispatcher of a simulation. @internal */
export function makeSimulatedMachine(options: DispatchSimulationOptions): DispatchMachine {
  const { order, admission, without = [], makeMachine, zones } = options
  const { resubmitDelayMs = RESUBMIT_DELAY_MS } = options
  const chosen = {
    without,
    timing: { resubmitDelayMs },
    ...(zones?.areAlone === true && { hasZoneDispatchers: true }),
    ...(order !== undefined && { order }),
    ...(admission !== undefined && { admission }),
  }
  return makeMachine?.(chosen) ?? new DispatchMachine(chosen)
}
