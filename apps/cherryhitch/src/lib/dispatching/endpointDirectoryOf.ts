import type { DispatchMachine } from '@cherryhitch/dispatch'
import type { EndpointNotices } from '@cherryhitch/protocol'

/** The endpoints that an instance knows, and those that were or may have been lost. @internal */
export type EndpointDirectory = Pick<EndpointNotices, 'notices' | 'lost' | 'possible'>

/** The directory of this instance, to be sent to other instances or stored on disk. @internal */
export function endpointDirectoryOf(machine: DispatchMachine, now: number): EndpointDirectory {
  const { lost, possible } = machine.losses(now)
  return { notices: machine.notices(now), lost: [...lost], possible: [...possible] }
}
