import http from 'node:http'
import type { Socket } from 'node:net'
import { ProblemRan } from '@cherryhitch/model'
import { Effect } from 'effect'
import type { JsonReply } from '../http/serverReplies'
import { problemReply, readJsonBody, writeReply } from '../http/serverReplies'
import { OveruseKind } from '../ledger/EndpointLedger'
import { MessageKind, Waste } from '../ledger/messageCounts'
import { DelayTimer } from '../util/DelayTimer'
import { ListenError } from '../util/ListenError'
import { presentTime } from '../util/presentTime'
import type { StandInEndpointOptions } from './StandInEndpointOptions'
import type { TaskRunner } from './TaskRunner'
import { readLeaseMs, readRunBody, readTaskIds } from './readRunBody'

type Answerer = (reply: JsonReply) => void

const OK = 200
const TASK_PATH = /^\/v1\/tasks\/([^/?]+)$/

/** The endpoint's HTTP server: owns its sockets and turns requests into calls. @internal */
export class EndpointServer {
  private readonly server: http.Server
  private readonly sockets = new Set<Socket>()
  /** Connections that get no bytes any more, though they stay open. */
  private readonly silent = new WeakSet<Socket>()
  private readonly delays = new DelayTimer()
  private hung = false

  constructor(
    private readonly options: StandInEndpointOptions,
    private readonly runner: TaskRunner,
  ) {
    this.server = http.createServer((req, res) => {
      this.take(req, res)
    })
    this.server.keepAliveTimeout = 0
    this.server.on('connection', (socket: Socket) => {
      this.track(socket)
    })
  }

  get openConnections(): number {
    return this.sockets.size
  }

  get address(): string {
    const address = this.server.address()
    if (address === null || typeof address === 'string') return ''
    return `${address.address}:${address.port}`
  }

  listen(): Effect.Effect<void, ListenError> {
    return Effect.callback((resume) => {
      this.server.once('error', (err) => {
        resume(Effect.fail(new ListenError(err.message)))
      })
      this.server.listen(this.options.port, this.options.host, () => {
        resume(Effect.void)
      })
    })
  }

  /** Accepts and reads, but answers nothing. */
  setHung(hung: boolean): void {
    this.hung = hung
  }

  /** What is open now goes silent for good; new connections work. */
  silenceOpen(): void {
    for (const socket of this.sockets) this.silent.add(socket)
  }

  destroy(): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private track(socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => this.sockets.delete(socket))
    const { connections, endpoint } = this.options
    if (this.sockets.size <= connections) return
    this.options.ledger.recordOveruse({
      kind: OveruseKind.Connections,
      endpoint,
      taskId: '',
      at: presentTime(),
      found: this.sockets.size,
      allowed: connections,
    })
  }

  private mute(socket: Socket): boolean {
    return this.hung || this.silent.has(socket)
  }

  private take(req: http.IncomingMessage, res: http.ServerResponse): void {
    const answer: Answerer = (reply) => {
      this.afterDelay(() => {
        if (!this.mute(req.socket)) writeReply(res, reply)
      })
    }
    readJsonBody(req, (body) => {
      this.afterDelay(() => {
        if (!this.mute(req.socket)) this.route(req, body, answer)
      })
    })
  }

  private afterDelay(act: () => void): void {
    this.delays.after(this.options.networkDelayMs, act)
  }

  private route(req: http.IncomingMessage, body: unknown, answer: Answerer): void {
    const path = req.url ?? ''
    const taskId = TASK_PATH.exec(path)?.[1]
    if (!this.authorized(req)) this.reject(answer, 401, 'a valid token is needed')
    else if (taskId !== undefined && req.method === 'PUT') this.runTask(taskId, body, answer)
    else if (taskId !== undefined && req.method === 'DELETE') this.stopTasks([taskId], answer)
    else if (path === '/v1/stops' && req.method === 'POST')
      this.stopTasks(readTaskIds(body), answer)
    else if (path === '/v1/leases' && req.method === 'POST') this.renewLeases(body, answer)
    else if (path === '/v1/health') answer({ status: OK, body: {} })
    else answer(problemReply(404, ProblemRan.No, 'no such resource'))
  }

  private authorized(req: http.IncomingMessage): boolean {
    const { requiredToken } = this.options
    return requiredToken === undefined || req.headers.authorization === `Bearer ${requiredToken}`
  }

  private reject(answer: Answerer, status: number, detail: string): void {
    this.options.ledger.recordMessage(MessageKind.Run, Waste.Rejected)
    answer(problemReply(status, ProblemRan.No, detail))
  }

  private runTask(encodedId: string, body: unknown, answer: Answerer): void {
    const parsed = readRunBody(body)
    if (parsed === undefined) this.reject(answer, 400, 'malformed task')
    else if (parsed.service !== this.options.service) this.reject(answer, 404, 'another service')
    else this.runner.run(decodeURIComponent(encodedId), parsed, answer)
  }

  private stopTasks(taskIds: readonly string[] | undefined, answer: Answerer): void {
    if (taskIds === undefined) answer(problemReply(400, ProblemRan.No, 'malformed stop'))
    else answer({ status: OK, body: this.runner.stop(taskIds) })
  }

  private renewLeases(body: unknown, answer: Answerer): void {
    const taskIds = readTaskIds(body)
    const leaseMs = readLeaseMs(body)
    if (taskIds === undefined || leaseMs === undefined) {
      answer(problemReply(400, ProblemRan.No, 'malformed renewal'))
      return
    }
    answer({ status: OK, body: this.runner.renew(taskIds, leaseMs) })
  }
}
