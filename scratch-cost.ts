import { create } from '@bufbuild/protobuf'
import { JobStepSchema, RoutingTableSchema, SteppedJobSchema, EndpointNoticeSchema, SubmitJobSchema, NoticeState } from '@cherryhitch/protocol'
import { DispatchMachine, DispatchEventKind, DispatchActionKind, StartResult, ListedEnd } from '@cherryhitch/dispatch'
const N = Number(process.argv[2] ?? 245)
const SCALE = Number(process.argv[3] ?? 1)
const m = new DispatchMachine({})
const kinds = [
  { name: 'a', rate: 144 * SCALE, width: 8, ms: 60 }, { name: 'b', rate: 26 * SCALE, width: 4, ms: 900 }, { name: 'c', rate: 420 * SCALE, width: 2, ms: 200 }]
const table = create(RoutingTableSchema, { version: 1, services: ['s'], routes: kinds.map((k) => ({ name: k.name, host: 'h', pathPrefix: `/${k.name}/`, service: 's', targetMs: 60, stretch: 1.6, maxAttempts: 3 })) })
let now = 0
interface Ev { at: number; run: () => any }
let heap: Ev[] = []
const at = (ms: number, run: () => any) => { heap.push({ at: now + ms, run }) }
const eps = new Map<string, any>()
let cpu = 0, starts = 0, done = 0, holds = 0
const counts: any = {}
function feed(events: any[], tick: boolean) {
  const t = process.hrtime.bigint()
  const a = [...(events.length ? m.stepAll(now, events) : []), ...(tick ? m.tick(now) : [])]
  cpu += Number(process.hrtime.bigint() - t) / 1e6
  for (const x of a) act(x)
}
function act(x: any) {
  counts[x.kind] = (counts[x.kind] ?? 0) + 1
  if (x.kind === DispatchActionKind.Hold) {
    holds++
    const e = eps.get(x.order.endpoint)
    e.ended = e.ended.filter((q: any) => q.position > x.order.acknowledgedEnd)
    const order = x.order
    let answered = false
    const answer = () => { if (answered) return; answered = true; e.wait = undefined; at(1.4, () => ({ kind: DispatchEventKind.HoldAnswered, endpoint: order.endpoint, token: order.fencingToken, sentAt: order.sentAt, report: { clockMs: now, running: [...e.running.values()], ended: [...e.ended] } })) }
    at(1.4, () => { if (e.ended.length || order.waitMs === 0) answer(); else { e.wait = answer; at(order.waitMs, () => { answer(); return undefined }) } return undefined })
  } else if (x.kind === DispatchActionKind.Start) {
    starts++
    const o = x.order; const e = eps.get(o.endpoint)
    at(1.4, () => {
      const k = kinds.find((k) => o.payload === k.name)!
      e.running.set(o.task, { task: o.task, run: o.run })
      at(k.ms * (0.6 + Math.random() * 0.8), () => { e.running.delete(o.task); e.ended.push({ position: ++e.pos, task: o.task, run: o.run, end: ListedEnd.Done }); e.wait?.(); done++; return undefined })
      at(1.4, () => ({ kind: DispatchEventKind.StartAnswered, endpoint: o.endpoint, token: o.fencingToken, task: o.task, run: o.run, result: StartResult.Runs }))
      return undefined
    })
  }
}
feed([{ kind: DispatchEventKind.Lead, term: 1, table }], false)
for (let i = 0; i < N; i++) {
  eps.set(`e${i}`, { ended: [], running: new Map(), pos: 0 })
  feed([{ kind: DispatchEventKind.Notice, notice: create(EndpointNoticeSchema, { endpoint: `e${i}`, service: 's', address: `e${i}:1`, state: NoticeState.SERVING, capacity: { cpuMillis: 32000, memoryMb: 65536 }, sequence: 1, labels: ['a', 'r1'] }) }], false)
}
let id = 0
const STEP = 2
for (let t = 0; t < 10_000; t += STEP) {
  now = t
  if (t === 3000) { cpu = 0; starts = 0; holds = 0; done = 0 }
  const due = heap.filter((e) => e.at <= now); heap = heap.filter((e) => e.at > now)
  const evs = due.map((e) => e.run()).filter((x) => x !== undefined)
  if (t > 200) for (const k of kinds) {
    let n = (k.rate * STEP) / 1000; n = Math.floor(n) + (Math.random() < n % 1 ? 1 : 0)
    for (let i = 0; i < n; i++) {
      const jobId = (id++).toString(16).padStart(16, '0')
      evs.push({ kind: DispatchEventKind.Submit, from: 'x', req: create(SubmitJobSchema, { requestId: jobId, host: 'h', path: `/${k.name}/${jobId}`, remainingMs: 1500, spec: create(SteppedJobSchema, { jobId, payload: k.name, steps: [create(JobStepSchema, { count: k.width, needs: { cpuMillis: 14000, memoryMb: 64 }, estimateMs: k.ms })] }) }) })
    }
  }
  if (t % 10 === 0) evs.push({ kind: DispatchEventKind.Confirmed, at: now - 3 })
  feed(evs, t % 10 === 0)
}
console.log({ N, SCALE, cpuShare: cpu / 7000, startsPerS: starts / 7, holdsPerS: holds / 7, donePerS: done / 7, open: m.openJobs, counts, counters: m.counters })
