import type { Tokens } from '@cherryhitch/settings'
import type { Disk } from '@cherryhitch/storage'
import type { InstanceTelemetry } from './InstanceTelemetry'

/** Address that an interface listens on. Port 0 picks any free port. @public */
export interface ListenAddress {
  readonly host: string
  readonly port: number
  readonly tls?: { readonly keyFile: string; readonly certFile: string }
}

/** Another instance, as listed in the settings. @public */
export interface PeerInstance {
  readonly instance: string
  readonly zone: string
  readonly host: string
  readonly port: number
  readonly voter: boolean
}

/** Intervals and timeouts of an instance, in milliseconds. @public */
export interface InstanceTiming {
  readonly heartbeatMs: number
  readonly endpointTimeoutMs: number
  readonly leaseMs: number
  readonly instanceHeartbeatMs: number
  readonly instanceTimeoutMs: number
  /** Delay between turning readiness off and draining, in which the load balancer sees it. */
  readonly balancerDelayMs: number
  /** Time limit for draining. */
  readonly drainLimitMs: number
  /** How long a starting instance waits for the settings in force before it serves. */
  readonly settingsWaitMs: number
  readonly partTickMs: number
  /** Interval at which the free capacity of this instance is published to membership. */
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
  /** Has to rise with each start; defaults to the wall clock. */
  readonly boot?: number
  readonly callers: ListenAddress
  readonly endpoints: ListenAddress
  readonly operators: ListenAddress
  readonly instances: ListenAddress
  readonly peers: readonly PeerInstance[]
  /** Set for a voter: the disk that holds its log. */
  readonly disk?: Disk
  /** Initializes a new set of voters from the listed instances; for demos and tests. */
  readonly autoInit?: { readonly clusterId: string }
  /**
   * Secrets read from their files. Without them, the interfaces require no authentication, and
   * listen on loopback only.
   */
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
