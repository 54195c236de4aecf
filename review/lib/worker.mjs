/**
 * A worker that follows PROTOCOL.md ("Running tasks", "Service discovery"): fencing, leases,
 * numbered runs, a list of ends, `rejectsOverload`. It does nothing wrong by itself.
 *
 * The `spec` of a job holds the run time of its tasks: {"ms": 900}.
 */
import http from 'node:http'
import { performance } from 'node:perf_hooks'
import { clearTimeout, setInterval, clearInterval, setTimeout } from 'node:timers'
import { call, parse } from './http.mjs'

const MAX_HOLD_MS = 1_000
const HEARTBEAT_MS = 1_500
const STOP_MS = 10
/** Takes the place of the response to an order that is carried out late. */
const NO_RESPONSE = { destroyed: true }

export class Worker {
  constructor({ id, service, zone, host, rack = 'r1-1', cpu = 32_000, memMb = 65_536, record }) {
    Object.assign(this, { id, service, zone, host, rack, cpu, memMb, record })
    this.running = new Map()
    /** Highest run of each task that was stopped or has ended here. */
    this.over = new Map()
    this.finished = []
    this.lastEnd = 0
    this.fence = 0
    this.leaseEndsAt = -Infinity
    this.holds = new Set()
    this.seq = 0
    this.state = 'ready'
    this.startedAt = performance.now() - 100_000
    /** Decides on each call: return true to leave it unanswered and not to carry it out. */
    this.ignores = () => false
    /** Decides on each call: after how many milliseconds it is carried out, without an answer. */
    this.lateBy = () => undefined
    /** Whether its heartbeats reach a control address. */
    this.reaches = () => true
    this.onStart = () => undefined
    this.onEnd = () => undefined
  }

  clock() {
    return Math.floor(performance.now() - this.startedAt)
  }

  async listen(port) {
    this.port = port
    this.server = http.createServer((req, res) => {
      let text = ''
      req.on('data', (part) => (text += part))
      req.on('end', () => this.#answer(req, parse(text) ?? {}, res))
      res.on('error', () => undefined)
    })
    await new Promise((resolve) => this.server.listen(port, this.host, resolve))
    this.leaseTimer = setInterval(() => this.#checkLease(), 5)
  }

  /** Sends heartbeats to the control nodes, the next one after a failure. */
  announce(controls) {
    let next = 0
    let preferred
    const beat = async () => {
      for (let tries = 0; tries < controls.length + 1; tries++) {
        const address = preferred ?? controls[next % controls.length]
        if (!this.reaches(address)) {
          preferred = undefined
          next++
          continue
        }
        const answer = await call({
          address,
          method: 'PUT',
          path: `/instances/${this.id}`,
          body: this.#report(),
          timeoutMs: 1_000,
        })
        if (answer.status >= 200 && answer.status < 300) {
          preferred = parse(answer.body)?.heartbeatAddress ?? preferred
          return
        }
        preferred = undefined
        next++
      }
    }
    void beat()
    this.beats = setInterval(() => void beat(), HEARTBEAT_MS)
  }

  /** Loses the answers to the holds that are open now. */
  dropHolds() {
    this.holds.clear()
  }

  stop() {
    this.isOver = true
    clearInterval(this.beats)
    clearInterval(this.leaseTimer)
    for (const { timer } of this.running.values()) clearTimeout(timer)
    this.server?.close()
    this.server?.closeAllConnections()
  }

  #report() {
    return {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: { cpu: this.cpu, memMb: this.memMb, gpu: 0 },
      labels: [this.kind ?? 'a', this.rack],
      clockMs: this.clock(),
      seq: ++this.seq,
    }
  }

  #reply(res, status, fields = {}) {
    if (res.destroyed) return
    res.writeHead(status, { 'content-type': 'application/json' })
    res.end(JSON.stringify({ clockMs: this.clock(), ...fields }))
  }

  #answer(req, body, res) {
    if (this.ignores(req.url, body)) return
    const lateMs = this.lateBy(req.url, body)
    if (lateMs !== undefined) {
      this.record.add('order is carried out late', { worker: this.id, path: req.url, lateMs })
      setTimeout(() => this.#carryOut(req, body, NO_RESPONSE), lateMs)
      return
    }
    this.#carryOut(req, body, res)
  }

  #carryOut(req, body, res) {
    if (this.isOver) return
    if (req.headers['x-cherryhitch-target-instance'] !== this.id) {
      this.#reply(res, 421)
      return
    }
    const fence = body.fencingToken ?? 0
    if (fence < this.fence) {
      this.#reply(res, 409, { reason: 'fence' })
      return
    }
    this.fence = fence
    if (req.url === '/hold') this.#hold(body, res)
    else if (req.url === '/run-start') this.#start(body, res)
    else if (req.url === '/run-stop') this.#stop(body, res)
    else this.#reply(res, 404)
  }

  #extendLease(deadlineMs) {
    if (deadlineMs === undefined) return
    const limited = Math.min(deadlineMs, this.clock() + MAX_HOLD_MS)
    this.leaseEndsAt = Math.max(this.leaseEndsAt, limited)
  }

  #checkLease() {
    if (this.running.size === 0 || this.clock() < this.leaseEndsAt) return
    for (const [task, { run }] of [...this.running]) this.#end(task, run, 'lapsed')
  }

  #start({ task, run, spec, deadlineMs }, res) {
    const known = this.running.get(task)
    if (known?.run === run) {
      this.#extendLease(deadlineMs)
      this.#reply(res, 200)
      return
    }
    if (deadlineMs <= this.clock()) {
      this.#reply(res, 409, { reason: 'late' })
      return
    }
    this.#extendLease(deadlineMs)
    if (run <= (this.over.get(task) ?? 0) || known !== undefined) {
      this.#reply(res, 409, { reason: 'old' })
      return
    }
    const { ms = 100, cpu = 1_000 } = parse(spec) ?? {}
    const used = [...this.running.values()].reduce((sum, one) => sum + one.cpu, 0)
    if (used + cpu > this.cpu) {
      this.#reply(res, 409, { reason: 'room' })
      return
    }
    const timer = setTimeout(() => this.#end(task, run, 'done'), ms)
    this.running.set(task, { run, cpu, timer })
    this.record.add('run starts', { worker: this.id, task, run })
    this.onStart(task, run)
    this.#reply(res, 200)
  }

  #stop({ task, run }, res) {
    this.over.set(task, Math.max(this.over.get(task) ?? 0, run))
    const known = this.running.get(task)
    if (known !== undefined && known.run <= run) {
      clearTimeout(known.timer)
      setTimeout(() => this.#end(task, known.run, 'stopped'), STOP_MS)
    }
    this.#reply(res, 200)
  }

  #end(task, run, how) {
    const known = this.running.get(task)
    if (known?.run !== run) return
    clearTimeout(known.timer)
    this.running.delete(task)
    this.over.set(task, Math.max(this.over.get(task) ?? 0, run))
    this.finished.push([++this.lastEnd, task, run, how, ''])
    this.record.add('run ends', { worker: this.id, task, run, how })
    this.onEnd(task, run, how)
    for (const answer of [...this.holds]) answer()
  }

  #hold({ deadlineMs, ackCursor = 0, waitMs = 0 }, res) {
    this.finished = this.finished.filter(([position]) => position > ackCursor)
    this.#extendLease(deadlineMs)
    const answer = () => {
      clearTimeout(timer)
      if (!this.holds.delete(answer)) return
      const running = [...this.running].map(([task, { run, cpu }]) => [task, run, '', 0, cpu])
      this.#reply(res, 200, { running, finished: this.finished.slice(0, 500) })
    }
    const timer = setTimeout(answer, this.finished.length > 0 ? 0 : Math.min(waitMs, 2_000))
    this.holds.add(answer)
  }
}
