import type { DispatchMachine } from '@cherryhitch/dispatch'
import type { EndpointNotices } from '@cherryhitch/protocol'

/** What an instance knows of endpoints and of those that were lost. @internal */
export type Directory = Pick<EndpointNotices, 'notices' | 'lost' | 'possible'>

/** What this instance knows, for others or for its next process. @internal */
export function directoryOf(machine: DispatchMachine, now: number): Directory {
  const { lost, possible } = machine.losses(now)
  return { notices: machine.notices(now), lost: [...lost], possible: [...possible] }
}
