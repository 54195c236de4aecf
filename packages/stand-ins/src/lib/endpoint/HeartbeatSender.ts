import http from 'node:http'
import type { HeartbeatAnswer, HeartbeatBody } from '@cherryhitch/model'
import { Effect, Queue } from 'effect'
import type { Scope } from 'effect'
import { requestJson } from '../http/requestJson'
import { MessageKind, Waste } from '../ledger/messageCounts'
import { SeededRandom } from '../util/SeededRandom'
import { HeartbeatRoute } from './HeartbeatRoute'
import type { StandInEndpointOptions } from './StandInEndpointOptions'

const OK = 200
const WAKE = Symbol('wake')

function isHeartbeatAnswer(body: unknown): body is HeartbeatAnswer {
  if (typeof body !== 'object' || body === null) return false
  const { ownerAddress, nextHeartbeatMs } = body as Partial<HeartbeatAnswer>
  return typeof ownerAddress === 'string' && typeof nextHeartbeatMs === 'number'
}

/** A fiber that announces the endpoint; owns the connection to its owner. @internal */
export class HeartbeatSender {
  private agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
  private stopped = false

  private constructor(
    private readonly options: StandInEndpointOptions,
    private readonly announcement: () => HeartbeatBody,
    private readonly route: HeartbeatRoute,
    private readonly wakes: Queue.Queue<typeof WAKE>,
  ) {}

  /** Starts the fiber; it ends with the scope. */
  static start(
    options: StandInEndpointOptions,
    announcement: () => HeartbeatBody,
  ): Effect.Effect<HeartbeatSender, never, Scope.Scope> {
    return Effect.gen(function* () {
      const wakes = yield* Queue.unbounded<typeof WAKE>()
      const route = new HeartbeatRoute(options, new SeededRandom(options.seed))
      const sender = new HeartbeatSender(options, announcement, route, wakes)
      yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
          sender.stop()
        }),
      )
      yield* Effect.forkScoped(sender.loop())
      return sender
    })
  }

  /** Sends the next heartbeat at once. */
  sendNow(): void {
    Queue.offerUnsafe(this.wakes, WAKE)
  }

  stop(): void {
    this.stopped = true
    this.agent.destroy()
    this.sendNow()
  }

  private loop(): Effect.Effect<void> {
    const turn = this.turn()
    const pause = Effect.suspend(() =>
      Effect.race(Queue.take(this.wakes), Effect.sleep(this.route.waitMs())),
    )
    const isStopped = (): boolean => this.stopped
    return Effect.gen(function* () {
      while (!isStopped()) {
        yield* turn
        yield* pause
      }
    }).pipe(Effect.ignore)
  }

  private turn(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const address = this.route.next()
      return address === undefined ? Effect.void : this.send(address)
    })
  }

  private send(address: string): Effect.Effect<void> {
    const { endpoint, token, heartbeatTimeoutMs, networkDelayMs, via } = this.options
    const request = Effect.suspend(() =>
      requestJson({
        method: 'POST',
        address: via(address),
        path: `/v1/endpoints/${endpoint}/heartbeat`,
        headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
        body: this.announcement(),
        timeoutMs: heartbeatTimeoutMs,
        agent: this.agent,
      }),
    )
    return Effect.sleep(networkDelayMs).pipe(
      Effect.andThen(request),
      Effect.tap(() => Effect.sleep(networkDelayMs)),
      Effect.match({
        onSuccess: (response) => {
          if (response.status === OK && isHeartbeatAnswer(response.body)) {
            this.noteAnswer(address, response.body)
          } else this.noteFailure(address)
        },
        onFailure: () => {
          this.noteFailure(address)
        },
      }),
    )
  }

  private noteAnswer(address: string, answer: HeartbeatAnswer): void {
    const direct = this.route.answered(address, answer)
    this.options.ledger.recordMessage(MessageKind.Heartbeat, direct ? undefined : Waste.NotOwner)
  }

  private noteFailure(address: string): void {
    this.route.failed(address)
    this.options.ledger.recordMessage(MessageKind.Heartbeat, Waste.Unanswered)
    // The connection may have gone silent: the next heartbeat takes a new one.
    this.agent.destroy()
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
  }
}
