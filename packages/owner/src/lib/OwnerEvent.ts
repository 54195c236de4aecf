import type { InstanceView } from '@cherryhitch/model'
import type {
  CancelTasks,
  EndpointAnnouncement,
  FenceTasks,
  ForwardHeartbeat,
  HandOverEndpoints,
  PlaceTasks,
  PresetDefinition,
  ReleaseSlots,
} from '@cherryhitch/protocol'
import type { RunResult, StopResult } from './endpointResults'

/** Kinds of events that the owner's state machine handles. @public */
export enum OwnerEventKind {
  Heartbeat = 'heartbeat',
  Message = 'message',
  RunEnded = 'run_ended',
  StopEnded = 'stop_ended',
  LeasesRenewed = 'leases_renewed',
  ProbeEnded = 'probe_ended',
  Members = 'members',
  Preset = 'preset',
  ZoneDrain = 'zone_drain',
  Drain = 'drain',
}

/** Messages from other instances that concern an owner. @public */
export type OwnerMessage =
  | { readonly case: 'placeTasks'; readonly value: PlaceTasks }
  | { readonly case: 'cancelTasks'; readonly value: CancelTasks }
  | { readonly case: 'fenceTasks'; readonly value: FenceTasks }
  | { readonly case: 'handOverEndpoints'; readonly value: HandOverEndpoints }
  | { readonly case: 'releaseSlots'; readonly value: ReleaseSlots }
  | { readonly case: 'forwardHeartbeat'; readonly value: ForwardHeartbeat }

/** @public */
export type OwnerEvent =
  | {
      readonly kind: OwnerEventKind.Heartbeat
      readonly announcement: EndpointAnnouncement
      /** The instance that forwarded the heartbeat; it is not forwarded a second time. */
      readonly forwardedBy?: string
    }
  | {
      readonly kind: OwnerEventKind.Message
      /** Sending instance. */
      readonly from: string
      readonly message: OwnerMessage
    }
  /** The result of RunTask: exactly one for each. */
  | {
      readonly kind: OwnerEventKind.RunEnded
      readonly endpoint: string
      readonly taskId: string
      readonly run: number
      readonly result: RunResult
    }
  /** The result of StopTasks: one for each. */
  | {
      readonly kind: OwnerEventKind.StopEnded
      readonly endpoint: string
      readonly results: readonly StopResult[]
      /** Boot number of the endpoint that answered, if the answer includes it. */
      readonly boot?: number | undefined
    }
  /** The result of RenewLeases. `knownTaskIds` is undefined if the endpoint did not answer. */
  | {
      readonly kind: OwnerEventKind.LeasesRenewed
      readonly endpoint: string
      readonly taskIds: readonly string[]
      readonly knownTaskIds: readonly string[] | undefined
      /** Boot number of the endpoint that answered, if the answer includes it. */
      readonly boot?: number | undefined
    }
  /** The result of Probe. */
  | {
      readonly kind: OwnerEventKind.ProbeEnded
      readonly endpoint: string
      readonly alive: boolean
    }
  /** The instances known now, from which ownership is derived. */
  | { readonly kind: OwnerEventKind.Members; readonly members: readonly InstanceView[] }
  | { readonly kind: OwnerEventKind.Preset; readonly preset: PresetDefinition }
  /** Whether an operator has drained the availability zone of this owner. */
  | { readonly kind: OwnerEventKind.ZoneDrain; readonly drained: boolean }
  | { readonly kind: OwnerEventKind.Drain }
