import type bunyan from 'bunyan'
import type { LineWriter } from '../files/LineWriter'
import type { FloodLimits } from './FloodLimiter'
import { FloodLimiter } from './FloodLimiter'
import type { LogFields, PartLog } from './PartLog'

type Severity = keyof PartLog

/** What tells one kind of line from another. */
interface LineKind {
  readonly part: string
  readonly severity: Severity
  readonly sentence: string
}

const LOG_PART = 'log'
/** Bunyan's own fields: given ones would overwrite them, such as the level of the line. */
const reservedFields: ReadonlySet<string> = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'time',
  'msg',
  'src',
  'v',
])

/** The log of a process. Writing never waits; lines above the limits are counted. @public */
export class Logger {
  readonly #limiter: FloodLimiter<LineKind>
  #heldBack = 0

  /** @internal */
  constructor(
    private readonly sink: bunyan,
    private readonly output: LineWriter,
    limits: FloodLimits,
    private readonly now: () => number,
  ) {
    this.#limiter = new FloodLimiter(limits)
  }

  /** The log of one part; its lines read `part: sentence`. */
  forPart(part: string): PartLog {
    const write =
      (severity: Severity) =>
      (sentence: string, fields: LogFields = {}): void => {
        this.#write({ part, severity, sentence }, fields)
      }
    return {
      debug: write('debug'),
      info: write('info'),
      warn: write('warn'),
      error: write('error'),
    }
  }

  /** Lines that were not written: above the limits, or lost to a slow or failed output. */
  counters(): Readonly<Record<'heldBack' | 'dropped', number>> {
    return { heldBack: this.#heldBack, dropped: this.output.dropped }
  }

  /** Writes how many lines were held back; `isLast` ends the period at once. @internal */
  summarise(isLast: boolean): void {
    const now = this.now()
    const summaries = isLast ? this.#limiter.flush(now) : this.#limiter.sweep(now)
    for (const { key, count } of summaries) {
      if (key === undefined) this.sink.warn(`${LOG_PART}: ${count} more lines held back`)
      else this.sink[key.severity](`${key.part}: ${count} more of "${key.sentence}"`)
    }
  }

  #write(kind: LineKind, fields: LogFields): void {
    const { part, severity, sentence } = kind
    if (!this.sink[severity]()) return
    const id = `${severity}/${part}/${sentence}`
    if (this.#limiter.admit(this.now(), id, kind)) {
      this.sink[severity](withoutReserved(fields), `${part}: ${sentence}`)
    } else {
      this.#heldBack += 1
    }
  }
}

function hasReserved(fields: LogFields): boolean {
  for (const key in fields) if (reservedFields.has(key)) return true
  return false
}

/** Renames fields that would overwrite those of the line. */
function withoutReserved(fields: LogFields): LogFields {
  if (!hasReserved(fields)) return fields
  const entries = Object.entries(fields).map(([key, value]) => [
    reservedFields.has(key) ? `field_${key}` : key,
    value,
  ])
  return Object.fromEntries(entries) as Record<string, unknown>
}
