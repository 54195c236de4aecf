import type { ChildProcess } from 'node:child_process'

export enum NodeRole {
  Dispatch = 'dispatch',
  Entry = 'entry',
}

/** A machine of the run and its process. */
export interface PlatformNode {
  readonly name: string
  readonly role: NodeRole
  readonly zone: string
  readonly host: string
  readonly linkPort: number
  readonly folder: string
  child: ChildProcess | undefined
  /** Whether its process has been told to stop or is suspended. */
  isBusy: boolean
  /** Rises with each start of its process. */
  incarnation: number
}
