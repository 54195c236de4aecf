import type { ResourcesBody } from '@cherryhitch/model'
import type { EndpointLedger } from '../ledger/EndpointLedger'
import type { TaskBehaviour } from './TaskBehaviour'
import { NormalBehaviour } from './TaskBehaviour'
import { defaultTaskTableOptions } from './TaskTable'

/** @public */
export interface StandInEndpointOptions {
  /** Name of the endpoint, as in its heartbeat's path. */
  readonly endpoint: string
  readonly service: string
  readonly zone: string
  readonly rack: string
  readonly slots: number
  readonly connections: number
  /** Of the worker behind the endpoint. */
  readonly capacity: ResourcesBody
  readonly host: string
  /** 0 takes a free one. */
  readonly port: number
  /** Address to announce when a link stands in front of the server; else the server's own. */
  readonly announcedAddress: string | undefined
  /** Addresses ("host:port") of the instances' endpoint interfaces. */
  readonly instances: readonly string[]
  /** Turns an instance's address into the one to use, where links stand in between. */
  readonly via: (address: string) => string
  /** Milliseconds between heartbeats until an instance says otherwise. */
  readonly heartbeatMs: number
  readonly heartbeatTimeoutMs: number
  /** Bearer token of its heartbeats. */
  readonly token: string | undefined
  /** Bearer token that it asks of those who send it tasks. */
  readonly requiredToken: string | undefined
  /** Rises with each start; undefined takes the present time. */
  readonly boot: number | undefined
  readonly ledger: EndpointLedger
  readonly behaviour: TaskBehaviour
  /** Added to each message, each way, in milliseconds. */
  readonly networkDelayMs: number
  readonly rememberedAnswers: number
  readonly rememberedIds: number
  readonly leavingGraceMs: number
  readonly seed: number
}

/** Every option but those that name the endpoint and its ledger. @public */
export type StandInEndpointDefaults = Omit<
  StandInEndpointOptions,
  'endpoint' | 'service' | 'zone' | 'rack' | 'ledger'
>

/** Slots, connections, cores and memory of Kitaura's workers, after the brief. @public */
export const defaultStandInEndpointOptions: StandInEndpointDefaults = {
  slots: defaultTaskTableOptions.slots,
  connections: 64,
  capacity: { cores: 32, memoryMb: 65_536 },
  host: '127.0.0.1',
  port: 0,
  announcedAddress: undefined,
  instances: [],
  via: (address) => address,
  heartbeatMs: 1000,
  heartbeatTimeoutMs: 500,
  token: undefined,
  requiredToken: undefined,
  boot: undefined,
  behaviour: new NormalBehaviour(),
  networkDelayMs: 0,
  rememberedAnswers: defaultTaskTableOptions.rememberedAnswers,
  rememberedIds: defaultTaskTableOptions.rememberedIds,
  leavingGraceMs: defaultTaskTableOptions.leavingGraceMs,
  seed: 1,
}

/** What a caller of `startStandInEndpoint` gives. @public */
export type StandInEndpointInput = Partial<StandInEndpointOptions> &
  Omit<StandInEndpointOptions, keyof StandInEndpointDefaults>
