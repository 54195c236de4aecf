import type { HeartbeatBody } from '@cherryhitch/model'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ListenError } from '../util/ListenError'
import { EndpointServer } from './EndpointServer'
import { HeartbeatSender } from './HeartbeatSender'
import type { StandInEndpointInput, StandInEndpointOptions } from './StandInEndpointOptions'
import { defaultStandInEndpointOptions } from './StandInEndpointOptions'
import type { TaskBehaviour } from './TaskBehaviour'
import { TaskRunner } from './TaskRunner'

/** An endpoint on a worker, as the system sees it; it lies and fails on command. @public */
export class StandInEndpoint {
  private dead = false

  /** @internal */
  constructor(
    private readonly runner: TaskRunner,
    private readonly server: EndpointServer,
    private readonly heartbeats: HeartbeatSender,
    readonly endpoint: string,
    /** Host and port of its server. */
    readonly address: string,
  ) {}

  get openConnections(): number {
    return this.server.openConnections
  }

  get runningTaskIds(): readonly string[] {
    return this.runner.runningIds()
  }

  /** Says `leaving` at once; running tasks go on. */
  leave(): void {
    this.runner.leave()
    this.heartbeats.sendNow()
  }

  /** Falls silent towards the instances but goes on serving. */
  stopHeartbeats(): void {
    this.heartbeats.stop()
  }

  /** Drops every connection, run and heartbeat, as a worker that dies. */
  kill(): void {
    if (this.dead) return
    this.dead = true
    this.heartbeats.stop()
    this.server.destroy()
    this.runner.kill()
  }

  /** Accepts connections and requests, and answers none; heartbeats go on unless stopped. */
  hang(): void {
    this.server.setHung(true)
  }

  /** Ends a hang: what arrived during it stays unanswered. */
  recover(): void {
    this.server.setHung(false)
  }

  /** Open connections get no bytes any more and stay open; new ones work. */
  silence(): void {
    this.server.silenceOpen()
  }

  setBehaviour(behaviour: TaskBehaviour): void {
    this.runner.setBehaviour(behaviour)
  }

  close(): void {
    this.kill()
  }
}

/** Makes announcements one after the other; each reports the usage of the one before. */
function announcer(
  options: StandInEndpointOptions,
  runner: TaskRunner,
  address: string,
  boot: number,
): () => HeartbeatBody {
  const { service, zone, rack, slots, connections, capacity } = options
  let usage = runner.usage()
  return () => {
    const lagging = usage
    usage = runner.usage()
    return {
      service,
      zone,
      rack,
      address: options.announcedAddress ?? address,
      slots,
      connections,
      capacity,
      usage: lagging,
      boot,
      runningTaskIds: runner.runningIds(),
      state: runner.leaving ? 'leaving' : 'serving',
    }
  }
}

/**
 * Starts an endpoint that heartbeats and serves until the scope closes.
 *
 * @public
 */
export function startStandInEndpoint(
  input: StandInEndpointInput,
): Effect.Effect<StandInEndpoint, ListenError, Scope.Scope> {
  const options: StandInEndpointOptions = { ...defaultStandInEndpointOptions, ...input }
  return Effect.gen(function* () {
    const boot = options.boot ?? Date.now()
    const runner = new TaskRunner(options, boot)
    const server = new EndpointServer(options, runner)
    yield* Effect.acquireRelease(server.listen(), () =>
      Effect.sync(() => {
        server.destroy()
        runner.kill()
      }),
    )
    const address = server.address
    const heartbeats = yield* HeartbeatSender.start(
      options,
      announcer(options, runner, address, boot),
    )
    return new StandInEndpoint(runner, server, heartbeats, options.endpoint, address)
  })
}
