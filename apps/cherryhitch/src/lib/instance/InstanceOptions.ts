import type { Tokens } from '@cherryhitch/settings'
import type { Disk } from '@cherryhitch/storage'
import type { InstanceTelemetry } from './InstanceTelemetry'

/** Where an interface listens. Port 0 takes any free port. @public */
export interface ListenAddress {
  readonly host: string
  readonly port: number
  readonly tls?: { readonly keyFile: string; readonly certFile: string }
}

/** Another instance, as the settings name it. @public */
export interface PeerInstance {
  readonly instance: string
  readonly zone: string
  readonly host: string
  readonly port: number
  readonly voter: boolean
}

/** Times and limits that an instance keeps; milliseconds. @public */
export interface InstanceTiming {
  readonly heartbeatMs: number
  readonly endpointTimeoutMs: number
  readonly leaseMs: number
  readonly instanceHeartbeatMs: number
  readonly instanceTimeoutMs: number
  /** Readiness is off for this long before draining starts, so that the balancer has seen it. */
  readonly balancerDelayMs: number
  /** Draining is given up after this. */
  readonly drainLimitMs: number
  /** How long a starting instance waits for the settings in force before it serves. */
  readonly settingsWaitMs: number
  readonly partTickMs: number
  /** Pace at which the offer is told to membership. */
  readonly offerMs: number
}

/** @public */
export const defaultInstanceTiming: InstanceTiming = {
  heartbeatMs: 500,
  endpointTimeoutMs: 3000,
  leaseMs: 3000,
  instanceHeartbeatMs: 200,
  instanceTimeoutMs: 2500,
  balancerDelayMs: 2000,
  drainLimitMs: 60_000,
  settingsWaitMs: 3000,
  partTickMs: 25,
  offerMs: 100,
}

/** @public */
export interface InstanceOptions {
  readonly instance: string
  readonly zone: string
  /** Rises with each start; the wall clock when it is left out. */
  readonly boot?: number
  readonly callers: ListenAddress
  readonly endpoints: ListenAddress
  readonly operators: ListenAddress
  readonly instances: ListenAddress
  readonly peers: readonly PeerInstance[]
  /** Set for a voter: the folder of its log. */
  readonly disk?: Disk
  /** Make a new set of voters out of the instances that the settings name; for demos and tests. */
  readonly autoInit?: { readonly clusterId: string }
  /** Secrets as read from their files; without them every interface is open, on loopback only. */
  readonly tokens?: Tokens
  readonly limits?: {
    readonly bodyBytes?: number
    readonly headerBytes?: number
    readonly tasksPerJob?: number
    readonly requestTimeoutMs?: number
  }
  readonly timing?: Partial<InstanceTiming>
  readonly telemetry: InstanceTelemetry
}
