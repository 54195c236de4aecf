import type { EndpointHealth, EndpointPicker, RetryBudget } from '@cherryhitch/policy'
import {
  createEndpointHealth,
  createEndpointPicker,
  createRetryBudget,
  createTaskQueue,
} from '@cherryhitch/policy'
import type { PresetDefinition } from '@cherryhitch/protocol'
import { ServicePool } from './dispatch/ServicePool'
import type { EndpointRecord } from './endpoints/EndpointRecord'
import { OwnershipView } from './endpoints/OwnershipView'
import { Outbox } from './Outbox'
import { newOwnerCounters } from './OwnerCounters'
import type { OwnerLimits, OwnerMachineOptions, OwnerTiming } from './OwnerOptions'
import { defaultOwnerLimits, defaultOwnerTiming } from './OwnerOptions'
import { TaskRegistry } from './tasks/TaskRegistry'
import { TaskHistory } from './tasks/TaskHistory'
import type { TaskRecord } from './tasks/TaskRecord'
import { TaskPhase } from './tasks/TaskRecord'

/** State shared by the components of one owner, and the policies of its preset. @internal */
export class OwnerContext {
  readonly instance: string
  readonly boot: number
  readonly zone: string
  readonly timing: OwnerTiming
  readonly limits: OwnerLimits
  readonly registry = new TaskRegistry()
  readonly history: TaskHistory
  readonly outbox = new Outbox()
  readonly counters = newOwnerCounters()
  readonly ownership: OwnershipView
  /** Endpoints that are owned here or still run tasks that were dispatched from here. */
  readonly endpoints = new Map<string, EndpointRecord>()
  readonly pools = new Map<string, ServicePool>()
  /** Pools in which a task may have become dispatchable since the last dispatch. */
  readonly dirtyPools = new Set<ServicePool>()
  /** Per handed-over endpoint, ended tasks that its new owner has not been told of. */
  readonly releasedSlots = new Map<string, string[]>()
  /** Per service, the owners that its endpoints were handed over to. */
  readonly successors = new Map<string, Set<string>>()
  /** Endpoints with task ids in `pendingStops`. */
  readonly endpointsWithPendingStops = new Set<EndpointRecord>()
  preset: PresetDefinition
  health: EndpointHealth
  picker: EndpointPicker
  retryBudget: RetryBudget
  /** Whether this instance is being stopped. */
  draining = false
  /** Whether an operator has drained the zone: its endpoints get no more tasks. */
  isZoneDrained = false

  constructor(options: OwnerMachineOptions) {
    this.instance = options.instance
    this.boot = options.boot
    this.zone = options.zone
    this.timing = { ...defaultOwnerTiming, ...options.timing }
    this.limits = { ...defaultOwnerLimits, ...options.limits }
    this.history = new TaskHistory({
      retentionMs: this.timing.rememberMs,
      maxTasks: this.limits.rememberedTasks,
      maxOutputLength: this.limits.rememberedOutputChars,
    })
    this.preset = options.preset
    this.ownership = new OwnershipView(options.instance, options.zone, options.preset.ownerShards)
    this.health = createEndpointHealth(options.preset.healthRule)
    this.picker = createEndpointPicker(options.preset.placementRule)
    this.retryBudget = createRetryBudget(options.preset)
  }

  poolOf(service: string): ServicePool {
    const known = this.pools.get(service)
    if (known !== undefined) return known
    const pool = new ServicePool(service, createTaskQueue<TaskRecord>(this.preset.queueOrder))
    this.pools.set(service, pool)
    return pool
  }

  /** Live owners to which queued tasks of a service can be forwarded. */
  successorsOf(service: string): readonly string[] {
    const known = [...(this.successors.get(service) ?? [])]
    const alive = known.filter((instance) => this.ownership.isAlive(instance))
    if (alive.length > 0 || !this.draining) return alive
    const owner = this.ownership.ownerOf('', service, this.zone)
    return owner === undefined || owner === this.instance ? [] : [owner]
  }

  canForward(service: string): boolean {
    return this.successorsOf(service).length > 0
  }

  /** Re-evaluates whether an endpoint has free slots, after any change to its record. */
  refresh(record: EndpointRecord): void {
    const pool = this.pools.get(record.service)
    if (pool === undefined) return
    pool.refresh(record)
    this.dirtyPools.add(pool)
  }

  /** Requests that a dispatched task be stopped at its endpoint. */
  stop(task: TaskRecord): void {
    task.phase = TaskPhase.Stopping
    this.requestStop(task)
  }

  /** Adds a task to its endpoint's next StopTasks, unless the one in flight includes it. */
  requestStop(task: TaskRecord): void {
    const record = task.endpoint
    if (record === undefined || record.stopsInFlight?.includes(task.taskId)) return
    record.pendingStops.add(task.taskId)
    this.endpointsWithPendingStops.add(record)
  }

  /** Time by which the lease of a task has certainly expired, message delay included. */
  leaseEnd(task: TaskRecord): number {
    return task.leasedAt + this.timing.leaseMs + this.timing.leaseSlackMs
  }

  /**
   * Switches to another preset. Queued tasks enter the new queue in their order of arrival.
   * Policies whose rule stays the same keep their learned state.
   */
  applyPreset(now: number, preset: PresetDefinition): void {
    const old = this.preset
    this.preset = preset
    if (old.queueOrder !== preset.queueOrder) {
      for (const pool of this.pools.values()) this.rebuildQueue(now, pool)
    }
    if (old.placementRule !== preset.placementRule) {
      this.picker = createEndpointPicker(preset.placementRule)
    }
    if (old.retryBudget !== preset.retryBudget) this.retryBudget = createRetryBudget(preset)
    if (old.healthRule !== preset.healthRule) this.rebuildHealth()
    for (const pool of this.pools.values()) this.dirtyPools.add(pool)
  }

  private rebuildQueue(now: number, pool: ServicePool): void {
    const waiting = [...pool.queue.tasks()]
    waiting.sort((one, other) => one.enqueuedAt - other.enqueuedAt)
    pool.queue = createTaskQueue<TaskRecord>(this.preset.queueOrder)
    for (const task of waiting) pool.queue.push(now, task)
  }

  private rebuildHealth(): void {
    this.health = createEndpointHealth(this.preset.healthRule)
    for (const record of this.endpoints.values()) {
      if (record.owned) this.health.add(record.endpoint, record.service)
    }
  }
}
