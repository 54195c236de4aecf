import { create } from '@bufbuild/protobuf'
import type { ControlNode } from '@cherryhitch/control'
import type { CoordinatorActor } from '@cherryhitch/coordinator'
import type { AuditPage, EndpointStatus, SettingsStatus } from '@cherryhitch/http-api'
import { OperatorService } from '@cherryhitch/http-api'
import type { InstanceView } from '@cherryhitch/model'
import type { EndpointView, OwnerActor } from '@cherryhitch/owner'
import { HealthState } from '@cherryhitch/policy'
import type { Command, CommandAnswer, JobAnswer, VotersStatus } from '@cherryhitch/protocol'
import {
  EndpointAnnouncementSchema,
  EndpointState,
  SettingsStateSchema,
} from '@cherryhitch/protocol'
import { Effect } from 'effect'

/** The parts that the operator interface reads from. @internal */
export interface InstanceOperatorsOptions {
  readonly instance: string
  readonly owner: OwnerActor
  readonly coordinator: CoordinatorActor
  readonly control: ControlNode
  readonly members: () => readonly InstanceView[]
}

const NO_AUDIT = -1

/** Connects the operator interface to the parts of this instance. @internal */
export class InstanceOperators extends OperatorService {
  constructor(private readonly parts: InstanceOperatorsOptions) {
    super()
  }

  override instances(): Effect.Effect<readonly InstanceView[]> {
    return Effect.sync(() => this.parts.members())
  }

  override endpoints(): Effect.Effect<readonly EndpointStatus[]> {
    const { owner, instance } = this.parts
    return Effect.sync(() => owner.endpoints().map((view) => endpointStatus(view, instance)))
  }

  override jobs(): Effect.Effect<readonly JobAnswer[]> {
    return Effect.sync(() => this.parts.coordinator.jobs())
  }

  override settings(): Effect.Effect<SettingsStatus> {
    return Effect.sync(() => this.parts.control.settings() ?? unknownSettings())
  }

  override propose(command: Command): Effect.Effect<CommandAnswer> {
    return this.parts.control.propose(command)
  }

  override audit(from: number, limit: number): Effect.Effect<AuditPage> {
    return Effect.map(this.parts.control.read(from, limit), (reply) => ({
      records: reply.audit,
      current: reply.ok,
    }))
  }

  override voters(): Effect.Effect<VotersStatus | undefined> {
    return Effect.map(this.parts.control.read(NO_AUDIT, 0), (reply) => reply.voters)
  }
}

/** Returned until the first settings are known: version 0, no preset. */
function unknownSettings(): SettingsStatus {
  return { settings: create(SettingsStateSchema), current: false }
}

function endpointStatus(view: EndpointView, owner: string): EndpointStatus {
  const { endpoint, service, zone, rack, address, slots, boot, leaving } = view
  const state = leaving ? EndpointState.LEAVING : EndpointState.SERVING
  const fields = { endpoint, service, zone, rack, address, slots, boot, state }
  return {
    announcement: create(EndpointAnnouncementSchema, fields),
    owner,
    busySlots: slots - view.freeSlots,
    heardMsAgo: Math.round(view.silentMs),
    ejected: view.health === HealthState.Ejected,
  }
}
