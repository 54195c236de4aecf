/**
 * Starts the project's programs as the deploy file does, each as a process of its own, with the
 * settings of a small deployment: three core machines, three edge machines, three zones.
 */
import { spawn } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import process from 'node:process'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { call } from './http.mjs'
import { freePorts, loopbackNet } from './ports.mjs'

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..')
export const ZONES = ['kita-hall', 'higashi-hall', 'minami-hall']
export const HOST_NAME = 'nony24.example'
export const PREFIX = '/lohu930/'
export const SERVICE = 'trace-desk'

/** The word list of a role's `run` line, with the settings file of one process. */
function commandOf(role, settingsFile) {
  const lines = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').split('\n')
  const at = lines.findIndex((line) => line.trim() === `[roles.${role}]`)
  const run = lines.slice(at).find((line) => line.startsWith('run = '))
  const words = run.slice(run.indexOf('"') + 1, run.lastIndexOf('"')).split(' ')
  return words.map((word) => (word === '/etc/cherryhitch/boot.toml' ? settingsFile : word))
}

export class Deployment {
  constructor(record, { hasLinkPorts = false } = {}) {
    this.record = record
    this.hasLinkPorts = hasLinkPorts
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
    this.processes = new Map()
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => {
        this.#killAll()
        process.exit(2)
      })
    }
  }

  async prepare() {
    const address = loopbackNet()
    const hosts = [1, 2, 3, 11, 12, 13, 21].map(address)
    const [metrics, control, front, readiness, workers, ...links] = await freePorts(11, hosts)
    this.workerPort = workers
    this.workerHost = (n) => address(30 + n)
    this.nodes = ZONES.flatMap((zone, i) => [
      { name: `core-${zone}-1`, role: 'dispatch', zone, host: address(1 + i) },
      { name: `edge-${zone}-1`, role: 'entry', zone, host: address(11 + i) },
    ])
    this.cores = this.nodes.filter(({ role }) => role === 'dispatch')
    this.edges = this.nodes.filter(({ role }) => role === 'entry')
    this.controls = this.cores.map(({ host }) => `${host}:${control}`)
    this.fronts = this.edges.map(({ host }) => `${host}:${front}`)
    for (const [n, node] of this.nodes.entries()) {
      node.dataDir = path.join(this.folder, node.name)
      fs.mkdirSync(node.dataDir)
      node.file = path.join(this.folder, `${node.name}.jsonc`)
      // The same for all, unless proxies stand between the processes; see `links.mjs`.
      const link = links[this.hasLinkPorts ? n : 0]
      node.ports = { link, metrics, control, front, readiness }
    }
  }

  /** What the template of the deploy file gives for a machine. */
  #settings(node, bootstrap) {
    const isCore = node.role === 'dispatch'
    const { link, metrics, control, front, readiness } = node.ports
    return {
      name: node.name,
      host: node.host,
      zone: node.zone,
      linkPort: link,
      metricsPort: metrics,
      seeds: this.controls,
      firstStart: bootstrap,
      toleratedLosses: 1,
      ...(isCore && { dataFolder: node.dataDir, control: `${node.host}:${control}` }),
      ...(!isCore && {
        callers: `${node.host}:${front}`,
        readiness: `${node.host}:${readiness}`,
      }),
      heartbeatMs: 1_500,
      maxLeaseMs: 1_000,
      without: ['late_service', 'priority_shares', 'uneven_endpoints', 'leader_knowledge'],
      stopGraceMs: 6_000,
    }
  }

  start(node, bootstrap) {
    fs.writeFileSync(node.file, JSON.stringify(this.#settings(node, bootstrap)))
    const [program, ...args] = commandOf(node.role, node.file)
    const log = fs.openSync(path.join(this.folder, `${node.name}.log`), 'a')
    const child = spawn(program, args, { cwd: root, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    child.on('exit', (code, signal) =>
      this.record.add('process ended', { node: node.name, code, signal }),
    )
    this.processes.set(node.name, child)
    this.record.add('process started', { node: node.name })
  }

  signal(node, signal) {
    this.record.add('signal', { node: node.name, signal })
    this.processes.get(node.name)?.kill(signal)
  }

  startAll() {
    for (const node of this.nodes) this.start(node, true)
  }

  /** The node that leads by its log, or undefined. */
  leader() {
    const last = this.cores.map((node) => {
      const text = fs.readFileSync(path.join(this.folder, `${node.name}.log`), 'utf8')
      const found = [...text.matchAll(/became leader[^\n]*?term[" :]+(\d+)/g)].at(-1)
      return { node, term: Number(found?.[1] ?? -1) }
    })
    const best = last.sort((a, b) => b.term - a.term)[0]
    return best !== undefined && best.term >= 0 ? best.node : undefined
  }

  /** The operator's first configuration, sent until it is acknowledged. */
  async putConfig(version, { timeoutMs = 1_500, untilMs = 20_000 } = {}) {
    const body = {
      version,
      routes: [
        {
          name: 'r-1',
          host: HOST_NAME,
          pathPrefix: PREFIX,
          type: 'non_idempotent',
          timeoutMs,
          targetDurationMs: 60,
          priority: 0,
          service: SERVICE,
          maxAttempts: 3,
          stretch: 1.6,
        },
      ],
      services: [
        {
          name: SERVICE,
          healthPath: '/healthz',
          maxConnections: 64,
          protocol: 'h1',
          tls: false,
          rejectsOverload: true,
          standby: false,
        },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 262_144,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    }
    const endAt = this.record.now() + untilMs
    for (let n = 0; this.record.now() < endAt; n++) {
      const address = this.controls[n % this.controls.length]
      const answer = await call({ address, method: 'PUT', path: '/config', body, timeoutMs: 1_000 })
      if (answer.status === 200) {
        this.record.add('configuration acknowledged', { version, by: address })
        return true
      }
      await sleep(200)
    }
    return false
  }

  #killAll() {
    const left = [...this.processes.values()].filter(({ exitCode }) => exitCode === null)
    for (const child of left) child.kill('SIGCONT')
    for (const child of left) child.kill('SIGKILL')
  }

  /** Ends all processes that were started, and removes the temporary folder. */
  async end(keep = process.env.KEEP === '1') {
    this.#killAll()
    await sleep(200)
    if (!keep) fs.rmSync(this.folder, { recursive: true, force: true })
  }
}

/** A client's request for a job: one step of tasks that each run for `ms`. */
export function jobBody({ count = 1, ms = 100, cpu = 14_000 }) {
  return {
    spec: JSON.stringify({ ms, cpu }),
    bestEffort: true,
    steps: [{ count, cpu, memMb: 64, estimateMs: ms }],
  }
}

/** Sends a call of a client to an edge machine. */
export async function client(
  record,
  front,
  method,
  id,
  { body, deadlineMs = 1_500, note = '' } = {},
) {
  record.add('client sends', { method, id, to: front, note })
  const answer = await call({
    address: front,
    method,
    path: `${PREFIX}${id}`,
    headers: { host: HOST_NAME, 'x-cherryhitch-deadline-ms': String(deadlineMs) },
    body,
    timeoutMs: deadlineMs + 3_000,
  })
  const at = record.add('client gets', {
    method,
    id,
    status: answer.status,
    body: answer.body,
    note,
  })
  return { ...answer, at }
}
