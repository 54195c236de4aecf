import type { EndpointHealth, EndpointPicker, RetryBudget } from '@cherryhitch/policy'
import {
  createEndpointHealth,
  createEndpointPicker,
  createRetryBudget,
  createTaskQueue,
} from '@cherryhitch/policy'
import type { PresetDefinition } from '@cherryhitch/protocol'
import { ServiceLane } from './dispatch/ServiceLane'
import type { EndpointRecord } from './endpoints/EndpointRecord'
import { OwnershipView } from './endpoints/OwnershipView'
import { Outbox } from './Outbox'
import { newOwnerCounters } from './OwnerCounters'
import type { OwnerLimits, OwnerMachineOptions, OwnerTiming } from './OwnerOptions'
import { defaultOwnerLimits, defaultOwnerTiming } from './OwnerOptions'
import { TaskBook } from './tasks/TaskBook'
import { TaskMemory } from './tasks/TaskMemory'
import type { TaskRecord } from './tasks/TaskRecord'
import { TaskPhase } from './tasks/TaskRecord'

/** The state that the managers of one owner share, and the policies of its preset. @internal */
export class OwnerContext {
  readonly instance: string
  readonly boot: number
  readonly zone: string
  readonly timing: OwnerTiming
  readonly limits: OwnerLimits
  readonly book = new TaskBook()
  readonly memory: TaskMemory
  readonly outbox = new Outbox()
  readonly counters = newOwnerCounters()
  readonly ownership: OwnershipView
  /** All endpoints that are owned here or still run tasks from here. */
  readonly endpoints = new Map<string, EndpointRecord>()
  readonly lanes = new Map<string, ServiceLane>()
  /** Lanes where something may be dispatched since the last look. */
  readonly dirtyLanes = new Set<ServiceLane>()
  /** Ended tasks of handed-over endpoints, whose new owners have to hear of it. */
  readonly releasedSlots = new Map<string, string[]>()
  /** Per service, the owners that its endpoints were handed over to. */
  readonly successors = new Map<string, Set<string>>()
  /** Endpoints with ids that wait to be stopped. */
  readonly stopsWaiting = new Set<EndpointRecord>()
  preset: PresetDefinition
  health: EndpointHealth
  picker: EndpointPicker
  retries: RetryBudget
  draining = false

  constructor(options: OwnerMachineOptions) {
    this.instance = options.instance
    this.boot = options.boot
    this.zone = options.zone
    this.timing = { ...defaultOwnerTiming, ...options.timing }
    this.limits = { ...defaultOwnerLimits, ...options.limits }
    this.memory = new TaskMemory({
      rememberMs: this.timing.rememberMs,
      tasks: this.limits.rememberedTasks,
      output: this.limits.rememberedOutput,
    })
    this.preset = options.preset
    this.ownership = new OwnershipView(options.instance, options.zone, options.preset.ownerShards)
    this.health = createEndpointHealth(options.preset.healthRule)
    this.picker = createEndpointPicker(options.preset.placementRule)
    this.retries = createRetryBudget(options.preset)
  }

  lane(service: string): ServiceLane {
    const known = this.lanes.get(service)
    if (known !== undefined) return known
    const lane = new ServiceLane(service, createTaskQueue<TaskRecord>(this.preset.queueOrder))
    this.lanes.set(service, lane)
    return lane
  }

  /** Live owners that queued tasks of a service can move to. */
  successorsOf(service: string): readonly string[] {
    const known = [...(this.successors.get(service) ?? [])]
    const alive = known.filter((instance) => this.ownership.isAlive(instance))
    if (alive.length > 0 || !this.draining) return alive
    const owner = this.ownership.ownerOf('', service, this.zone)
    return owner === undefined || owner === this.instance ? [] : [owner]
  }

  canPassOn(service: string): boolean {
    return this.successorsOf(service).length > 0
  }

  /** Looks at an endpoint's free slots again, after anything about it changed. */
  refresh(record: EndpointRecord): void {
    const lane = this.lanes.get(record.service)
    if (lane === undefined) return
    lane.refresh(record)
    this.dirtyLanes.add(lane)
  }

  /** Has a dispatched task stopped at its endpoint. */
  stop(task: TaskRecord): void {
    task.phase = TaskPhase.Stopping
    this.askToStop(task)
  }

  /** Puts a task into the next StopTasks of its endpoint, unless one is open that names it. */
  askToStop(task: TaskRecord): void {
    const record = task.endpoint
    if (record === undefined || record.stopsAsked?.includes(task.taskId)) return
    record.pendingStops.add(task.taskId)
    this.stopsWaiting.add(record)
  }

  /** Instant at which the lease of a task has run out for certain. */
  leaseEnd(task: TaskRecord): number {
    return task.leasedAt + this.timing.leaseMs + this.timing.leaseSlackMs
  }

  /**
   * Works by the rules of another preset. Queued tasks keep their order of arrival as the new
   * queue's input; what the old policies learned is kept where the rule stays the same.
   */
  usePreset(now: number, preset: PresetDefinition): void {
    const old = this.preset
    this.preset = preset
    if (old.queueOrder !== preset.queueOrder) {
      for (const lane of this.lanes.values()) this.rebuildQueue(now, lane)
    }
    if (old.placementRule !== preset.placementRule) {
      this.picker = createEndpointPicker(preset.placementRule)
    }
    if (old.retryBudget !== preset.retryBudget) this.retries = createRetryBudget(preset)
    if (old.healthRule !== preset.healthRule) this.rebuildHealth()
    for (const lane of this.lanes.values()) this.dirtyLanes.add(lane)
  }

  private rebuildQueue(now: number, lane: ServiceLane): void {
    const waiting = [...lane.queue.tasks()]
    waiting.sort((one, other) => one.enqueuedAt - other.enqueuedAt)
    lane.queue = createTaskQueue<TaskRecord>(this.preset.queueOrder)
    for (const task of waiting) lane.queue.push(now, task)
  }

  private rebuildHealth(): void {
    this.health = createEndpointHealth(this.preset.healthRule)
    for (const record of this.endpoints.values()) {
      if (record.owned) this.health.add(record.endpoint, record.service)
    }
  }
}
