import { MemoryDisk } from '@cherryhitch/storage'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { Instance } from '../instance/Instance'
import { LogOnlyTelemetry } from '../instance/InstanceTelemetry'
import { InstancePhase } from '../instance/Readiness'
import type { InstanceError } from '../instance/startInstance'
import { startInstance } from '../instance/startInstance'
import type { ClusterInstance, ClusterOptions } from './ClusterOptions'

const LOOPBACK = '127.0.0.1'
const CLUSTER_ID = 'in-process'
const READY_POLL_MS = 20

/**
 * Starts several instances in this process, on free ports of the loopback address, and waits
 * until all are ready. Voters keep their log in memory. For demos and tests.
 *
 * @public
 */
export function startCluster(
  options: ClusterOptions,
): Effect.Effect<readonly Instance[], InstanceError, Scope.Scope> {
  return Effect.gen(function* () {
    const instances: Instance[] = []
    for (const member of options.instances) {
      instances.push(yield* startMember(member, options))
    }
    connectPeers(instances)
    yield* awaitReady(instances)
    return instances
  })
}

function startMember(
  member: ClusterInstance,
  { instances, timing, log }: ClusterOptions,
): Effect.Effect<Instance, InstanceError, Scope.Scope> {
  const { instance, zone, voter } = member
  const anyPort = { host: LOOPBACK, port: 0 }
  const others = instances.filter((other) => other.instance !== instance)
  return startInstance({
    instance,
    zone,
    callers: anyPort,
    endpoints: anyPort,
    operators: anyPort,
    instances: anyPort,
    // Ports are only known once all instances have started; `connectPeers` then sets them.
    peers: others.map((other) => ({ ...other, ...anyPort })),
    ...(voter ? { disk: new MemoryDisk(), autoInit: { clusterId: CLUSTER_ID } } : {}),
    ...(timing === undefined ? {} : { timing }),
    telemetry: new LogOnlyTelemetry((line) => log?.(`${instance} ${line}`)),
  })
}

function connectPeers(instances: readonly Instance[]): void {
  const peers = instances.map(({ name, ports }) => ({
    instance: name,
    host: LOOPBACK,
    port: ports.instances,
  }))
  for (const instance of instances) instance.setPeers(peers)
}

function awaitReady(instances: readonly Instance[]): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (instances.some(({ phase }) => phase === InstancePhase.Starting)) {
      yield* Effect.sleep(READY_POLL_MS)
    }
  })
}
