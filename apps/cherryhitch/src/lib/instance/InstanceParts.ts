import type { ControlNode } from '@cherryhitch/control'
import type { CoordinatorPart } from '@cherryhitch/coordinator'
import type { InstanceView } from '@cherryhitch/model'
import type { OwnerPart } from '@cherryhitch/owner'
import type { Envelope } from '@cherryhitch/protocol'
import type { LinkHost } from '@cherryhitch/rpc'
import { LateBound } from './LateBound'
import type { Readiness } from './Readiness'
import type { MembershipPart } from './startMembership'

/**
 * The parts of one instance. They start one after the other but call one another from the first
 * moment on, so each is reached through a reference that may not be set yet.
 *
 * @internal
 */
export class InstanceParts {
  readonly links = new LateBound<LinkHost>()
  readonly owner = new LateBound<OwnerPart>()
  readonly coordinator = new LateBound<CoordinatorPart>()
  readonly control = new LateBound<ControlNode>()
  readonly membership = new LateBound<MembershipPart>()
  private view: readonly InstanceView[] = []

  constructor(readonly readiness: Readiness) {}

  /** The newest view of the instances. */
  readonly members = (): readonly InstanceView[] => this.view

  readonly setMembers = (members: readonly InstanceView[]): void => {
    this.view = members
  }

  /** Sends to an instance, this one included; what can't be sent is counted by the links. */
  readonly send = (to: string, message: Envelope): void => {
    this.links.use((links) => {
      links.send(to, message)
    })
  }
}
