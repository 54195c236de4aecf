import type { ControlError, ControlNode } from '@cherryhitch/control'
import type { CoordinatorActor } from '@cherryhitch/coordinator'
import type { HttpServerError } from '@cherryhitch/http-api'
import type { OwnerActor } from '@cherryhitch/owner'
import type { LinkError } from '@cherryhitch/rpc'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { becomeReady } from './becomeReady'
import { Instance } from './Instance'
import { InstanceEndpoints } from './InstanceEndpoints'
import { InstanceJobs } from './InstanceJobs'
import { InstanceOperators } from './InstanceOperators'
import type { InstanceOptions } from './InstanceOptions'
import { startPublishingOffers } from './offers'
import type { StartContext } from './StartContext'
import { logOf, createStartContext } from './StartContext'
import { startControlPart } from './startControlPart'
import { startCoordinatorPart } from './startCoordinatorPart'
import type { InstanceInterfaces } from './startInterfaces'
import { startInterfaces } from './startInterfaces'
import { startLinks } from './startLinks'
import { startMembershipPart } from './startMembershipPart'
import { startOwnerPart } from './startOwnerPart'

/** Reasons why an instance could not start. @public */
export type InstanceError = ControlError | HttpServerError | LinkError

/**
 * Starts one instance: the parts first, then the links, the interfaces last, so that no request is
 * accepted before it can be answered. The instance is ready once the settings in force are known,
 * or after `settingsWaitMs` if no quorum can be reached.
 *
 * @public
 */
export function startInstance(
  options: InstanceOptions,
): Effect.Effect<Instance, InstanceError, Scope.Scope> {
  return Effect.gen(function* () {
    const context = createStartContext(options)
    const { parts, timing, boot } = context
    const owner = yield* startOwnerPart(context)
    const coordinator = yield* startCoordinatorPart(context)
    const control = yield* startControlPart(context)
    const links = yield* startLinks(context)
    const interfaces = yield* openInterfaces(context, owner, coordinator, control)
    const membership = yield* startMembershipPart(context, interfaces)
    yield* startPublishingOffers(context)
    const { ownerDrained, coordinatorDrained } = context
    const components = {
      instance: options.instance,
      boot,
      timing,
      readiness: parts.readiness,
      ownerDrained,
      coordinatorDrained,
      interfaces,
      links,
      owner,
      coordinator,
      control,
      membership,
      members: parts.members,
      log: logOf(options, 'instance'),
    }
    const instance = new Instance(components)
    registerMetrics(options, instance)
    yield* Effect.forkScoped(becomeReady(context, control, membership))
    return instance
  })
}

function openInterfaces(
  { options, timing, parts }: StartContext,
  owner: OwnerActor,
  coordinator: CoordinatorActor,
  control: ControlNode,
): Effect.Effect<InstanceInterfaces, HttpServerError, Scope.Scope> {
  const { members, send, readiness } = parts
  const { heartbeatMs } = timing
  const { instance } = options
  return startInterfaces(options, {
    jobs: new InstanceJobs(coordinator),
    endpoints: new InstanceEndpoints({ instance, owner, heartbeatMs, send, members }),
    operators: new InstanceOperators({ instance, owner, coordinator, control, members }),
    health: readiness,
  })
}

function registerMetrics(options: InstanceOptions, instance: Instance): void {
  for (const part of Object.keys(instance.counters())) {
    options.telemetry.registerCounters(part, () => instance.counters()[part] ?? {})
  }
}
