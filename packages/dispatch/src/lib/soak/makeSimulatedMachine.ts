import { DispatchMachine } from '../DispatchMachine'
import type { DispatchSimulationOptions } from './DispatchSimulationOptions'

/** Creates a dispatcher of a simulation. @internal */
export function makeSimulatedMachine(options: DispatchSimulationOptions): DispatchMachine {
  const { order, admission, without = [], makeMachine, zones } = options
  const chosen = {
    without,
    ...(zones?.areAlone === true && { hasZoneDispatchers: true }),
    ...(order !== undefined && { order }),
    ...(admission !== undefined && { admission }),
  }
  return makeMachine?.(chosen) ?? new DispatchMachine(chosen)
}
