import { exhaustive } from '@cherryhitch/model'
import type { InstanceView } from '@cherryhitch/model'
import type { PresetDefinition, ServiceSummary } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
import { Dispatcher } from './dispatch/Dispatcher'
import type { ServicePool } from './dispatch/ServicePool'
import { EndpointDirectory } from './endpoints/EndpointDirectory'
import { EndpointProbes } from './endpoints/EndpointProbes'
import { HandOver } from './handover/HandOver'
import { QueueMover } from './handover/QueueMover'
import { Cancellation } from './intake/Cancellation'
import { CoordinatorWatch } from './intake/CoordinatorWatch'
import { Fencing } from './intake/Fencing'
import { Placement } from './intake/Placement'
import { NotRunHandler } from './outcomes/NotRunHandler'
import { RunResultHandler } from './outcomes/RunResultHandler'
import { TaskSettler } from './outcomes/TaskSettler'
import type { OwnerAction } from './OwnerAction'
import { OwnerActionKind } from './OwnerAction'
import { OwnerContext } from './OwnerContext'
import type { OwnerCounters } from './OwnerCounters'
import type { OwnerEvent, OwnerMessage } from './OwnerEvent'
import { OwnerEventKind } from './OwnerEvent'
import type { OwnerMachineOptions } from './OwnerOptions'
import { LeaseManager } from './recovery/LeaseManager'
import { LostTaskRecovery } from './recovery/LostTaskRecovery'
import { describeEndpoint } from './views/describeEndpoint'
import type { EndpointView } from './views/EndpointView'
import { ServiceSummaries } from './views/ServiceSummaries'

/**
 * State machine of the owner of a zone's endpoints, or of a share of them. It queues tasks, starts
 * each at an endpoint with a free slot, and reports its outcome. This class creates the components
 * and routes events to them.
 *
 * @public
 */
export class OwnerMachine extends StateMachine<OwnerEvent, OwnerAction> {
  private readonly ctx: OwnerContext
  private readonly dispatcher: Dispatcher
  private readonly notRun: NotRunHandler
  private readonly probes: EndpointProbes
  private readonly directory: EndpointDirectory
  private readonly runResults: RunResultHandler
  private readonly recovery: LostTaskRecovery
  private readonly leases: LeaseManager
  private readonly handOver: HandOver
  private readonly queues: QueueMover
  private readonly placement: Placement
  private readonly cancellation: Cancellation
  private readonly fencing: Fencing
  private readonly coordinators: CoordinatorWatch
  private readonly serviceSummaries: ServiceSummaries
  private drained = false

  constructor(options: OwnerMachineOptions) {
    super()
    const ctx = new OwnerContext(options)
    const settler = new TaskSettler(ctx)
    this.ctx = ctx
    this.dispatcher = new Dispatcher(ctx, settler)
    this.notRun = new NotRunHandler(ctx, settler, this.dispatcher)
    this.probes = new EndpointProbes(ctx)
    this.directory = new EndpointDirectory(ctx, settler, this.notRun)
    this.runResults = new RunResultHandler(ctx, settler, this.notRun, this.probes)
    this.recovery = new LostTaskRecovery(ctx, settler, this.notRun, this.dispatcher, this.probes)
    this.leases = new LeaseManager(ctx, settler, this.recovery, this.probes)
    this.handOver = new HandOver(ctx, this.directory)
    this.queues = new QueueMover(ctx, settler)
    this.placement = new Placement(ctx, settler, this.dispatcher)
    this.cancellation = new Cancellation(ctx, settler)
    this.fencing = new Fencing(ctx)
    this.coordinators = new CoordinatorWatch(ctx, this.cancellation)
    this.serviceSummaries = new ServiceSummaries(ctx)
  }

  override step(now: number, event: OwnerEvent): readonly OwnerAction[] {
    this.apply(now, event)
    return this.finish(now)
  }

  override tick(now: number): readonly OwnerAction[] {
    for (const record of [...this.ctx.endpoints.values()]) {
      this.probes.check(now, record)
      this.leases.runDueChecks(now, record)
      this.handOver.expireHeldSlots(now, record)
      this.directory.removeIfGone(now, record)
    }
    this.notRun.tick(now)
    this.coordinators.tick(now)
    for (const pool of [...this.ctx.pools.values()]) this.tickPool(now, pool)
    this.ctx.history.expire(now)
    if (this.serviceSummaries.hasChangedSignificantly(now)) {
      this.ctx.outbox.push({ kind: OwnerActionKind.SummaryChanged })
    }
    return this.finish(now)
  }

  /** Current capacity and load per service, as sent to coordinators. */
  summaries(now: number): readonly ServiceSummary[] {
    return this.serviceSummaries.make(now)
  }

  /** The endpoints known here, for operators. */
  endpoints(now: number): readonly EndpointView[] {
    return [...this.ctx.endpoints.values()].map((record) => describeEndpoint(now, this.ctx, record))
  }

  get counters(): Readonly<OwnerCounters> {
    return this.ctx.counters
  }

  /** Tasks that are queued or dispatched here. */
  get tasks(): number {
    return this.ctx.registry.size
  }

  /** The instance that should get an endpoint's heartbeats; undefined if none is known. */
  ownerOf(endpoint: string, service: string, zone = this.ctx.zone): string | undefined {
    if (this.ctx.endpoints.get(endpoint)?.owned === true) return this.ctx.instance
    return this.ctx.ownership.ownerOf(endpoint, service, zone)
  }

  private apply(now: number, event: OwnerEvent): void {
    switch (event.kind) {
      case OwnerEventKind.Heartbeat:
        this.directory.heartbeat(now, event.announcement, event.forwardedBy)
        return
      case OwnerEventKind.Message:
        this.handleMessage(now, event.from, event.message)
        return
      case OwnerEventKind.RunEnded:
        this.runResults.handleRunEnded(now, event)
        return
      case OwnerEventKind.StopEnded:
      case OwnerEventKind.LeasesRenewed:
      case OwnerEventKind.ProbeEnded:
        this.applyControlReply(now, event)
        return
      case OwnerEventKind.Members:
        this.setMembers(now, event.members)
        return
      case OwnerEventKind.Preset:
        this.setPreset(now, event.preset)
        return
      case OwnerEventKind.ZoneDrain:
        this.setZoneDrain(event.drained)
        return
      case OwnerEventKind.Drain:
        this.drain(now)
        return
      default:
        exhaustive(event)
    }
  }

  private tickPool(now: number, pool: ServicePool): void {
    for (const task of pool.queue.removeExpired(now)) this.dispatcher.expire(now, task)
    pool.countSlots()
    this.ctx.dirtyPools.add(pool)
    if (pool.isEmpty) this.ctx.pools.delete(pool.service)
    const { draining, timing } = this.ctx
    if (draining || pool.endpoints.size === 0 || !pool.hasNoUsableEndpoint(now, timing)) return
    this.queues.refuseAll(now, pool, Reason.NO_ENDPOINT, 'No endpoint of the service is left.')
  }

  private handleMessage(now: number, from: string, message: OwnerMessage): void {
    switch (message.case) {
      case 'placeTasks':
        this.placement.place(now, from, message.value)
        return
      case 'cancelTasks':
        this.cancellation.cancel(now, from, message.value)
        return
      case 'fenceTasks':
        this.fencing.fence(now, from, message.value)
        return
      case 'handOverEndpoints':
        this.handOver.takeOver(now, from, message.value)
        return
      case 'releaseSlots':
        this.handOver.applyRelease(from, message.value)
        return
      case 'forwardHeartbeat': {
        const { announcement } = message.value
        if (announcement !== undefined) this.directory.heartbeat(now, announcement, from)
        return
      }
      default:
        exhaustive(message)
    }
  }

  private applyControlReply(now: number, event: ControlReply): void {
    const record = this.ctx.endpoints.get(event.endpoint)
    if (record === undefined) this.ctx.counters.lateAnswers++
    else if (event.kind === OwnerEventKind.StopEnded) {
      this.recovery.handleStopResults(now, record, event.results, event.boot)
    } else if (event.kind === OwnerEventKind.LeasesRenewed) {
      this.leases.handleRenewal(now, record, event.knownTaskIds, event.boot)
    } else this.probes.onProbeEnded(now, record, event.alive)
  }

  private setMembers(now: number, members: readonly InstanceView[]): void {
    const changed = this.ctx.ownership.setMembers(now, members)
    this.handOver.clearDeadHolders()
    if (changed) this.handOver.rebalance(now)
    this.coordinators.membersChanged(now, members)
  }

  private setPreset(now: number, preset: PresetDefinition): void {
    const moved = this.ctx.ownership.setShards(preset.ownerShards)
    this.ctx.applyPreset(now, preset)
    if (moved) this.handOver.rebalance(now)
  }

  private setZoneDrain(drained: boolean): void {
    this.ctx.isZoneDrained = drained
    for (const pool of this.ctx.pools.values()) this.ctx.dirtyPools.add(pool)
  }

  private drain(now: number): void {
    if (this.ctx.draining) return
    this.ctx.draining = true
    this.ctx.ownership.startDraining(now)
    this.handOver.rebalance(now)
    for (const pool of this.ctx.pools.values()) this.ctx.dirtyPools.add(pool)
  }

  /** Forwards and dispatches queued tasks, and returns all actions of this step. */
  private finish(now: number): readonly OwnerAction[] {
    this.queues.run(now)
    this.dispatcher.run(now)
    this.recovery.sendStops(now)
    this.handOver.sendReleases()
    if (this.ctx.draining && !this.drained && this.ctx.registry.size === 0) {
      this.drained = true
      this.ctx.outbox.push({ kind: OwnerActionKind.Drained })
    }
    return this.ctx.outbox.take()
  }
}

type ControlReply = Extract<
  OwnerEvent,
  {
    kind: OwnerEventKind.StopEnded | OwnerEventKind.LeasesRenewed | OwnerEventKind.ProbeEnded
  }
>
