import type { InstanceTiming } from '../instance/InstanceOptions'

/** An instance of a cluster that runs in one process. @public */
export interface ClusterInstance {
  readonly instance: string
  readonly zone: string
  readonly voter: boolean
}

/** @public */
export interface ClusterOptions {
  readonly instances: readonly ClusterInstance[]
  readonly timing?: Partial<InstanceTiming>
  /** Receives log lines, prefixed with the instance's name; without it, they are discarded. */
  readonly log?: (line: string) => void
}
