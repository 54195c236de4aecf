import type { EndedCall } from './callHttp'

/** A span in which a machine, or what connects it, was disturbed; in milliseconds of the run. */
interface Span {
  readonly node: string
  readonly fromMs: number
  toMs: number
}

/** What happened in a run, in order. Times are milliseconds since its start. */
export class RunRecord {
  readonly lines: string[] = []
  /** How often each kind of event occurred. */
  readonly counts = new Map<string, number>()
  private readonly spans: Span[] = []
  private readonly startedAt = performance.now()

  now(): number {
    return performance.now() - this.startedAt
  }

  add(kind: string, detail = ''): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1)
    this.note(`${kind} ${detail}`)
  }

  /** Adds a line that isn't counted. */
  note(line: string): void {
    this.lines.push(`${(this.now() / 1000).toFixed(3)} ${line}`)
  }

  /** @returns a function that ends the span */
  disturb(...nodes: readonly string[]): () => void {
    const now = this.now()
    const spans = nodes.map((node) => ({ node, fromMs: now, toMs: Infinity }))
    this.spans.push(...spans)
    return () => {
      for (const span of spans) span.toMs = this.now()
    }
  }

  disturbFor(node: string, fromMs: number, toMs: number): void {
    this.spans.push({ node, fromMs, toMs })
  }

  /** Whether none of the nodes was disturbed in the time. */
  isCalm(nodes: readonly string[], fromMs: number, toMs: number): boolean {
    return !this.spans.some(
      (span) => nodes.includes(span.node) && span.fromMs <= toMs && span.toMs >= fromMs,
    )
  }

  noteCall(what: string, call: EndedCall): void {
    this.note(`${what} -> ${call.status} after ${Math.round(call.tookMs)} ms`)
  }
}
