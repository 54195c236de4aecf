import type { ControlNode } from '@cherryhitch/control'
import type { CoordinatorActor } from '@cherryhitch/coordinator'
import type { InstanceView } from '@cherryhitch/model'
import type { OwnerActor } from '@cherryhitch/owner'
import type { Envelope } from '@cherryhitch/protocol'
import type { LinkHost } from '@cherryhitch/rpc'
import { LateBound } from './LateBound'
import type { Readiness } from './Readiness'
import type { MembershipActor } from './startMembership'

/**
 * The parts of one instance. They start one after the other but may call one another at any time,
 * so each is accessed through a reference that may not be bound yet.
 *
 * @internal
 */
export class InstanceParts {
  readonly links = new LateBound<LinkHost>()
  readonly owner = new LateBound<OwnerActor>()
  readonly coordinator = new LateBound<CoordinatorActor>()
  readonly control = new LateBound<ControlNode>()
  readonly membership = new LateBound<MembershipActor>()
  private view: readonly InstanceView[] = []

  constructor(readonly readiness: Readiness) {}

  /** The latest view of all instances. */
  readonly members = (): readonly InstanceView[] => this.view

  readonly setMembers = (members: readonly InstanceView[]): void => {
    this.view = members
  }

  /** Sends to an instance, including this one; the links count messages that can't be sent. */
  readonly send = (to: string, message: Envelope): void => {
    this.links.use((links) => {
      links.send(to, message)
    })
  }
}
