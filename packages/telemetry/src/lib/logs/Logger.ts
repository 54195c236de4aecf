import type bunyan from 'bunyan'
import type { LineWriter } from '../files/LineWriter'
import type { FloodLimits } from './FloodLimiter'
import { FloodLimiter } from './FloodLimiter'
import type { LogFields, PartLog } from './PartLog'

type Severity = keyof PartLog

/** Lines that agree in these fields share a rate limit. */
interface LineKind {
  readonly part: string
  readonly severity: Severity
  readonly message: string
}

const LOG_PART = 'log'
/** Bunyan's own fields. Caller fields of these names would overwrite them, such as the level. */
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

/** The log of a process. Writing never blocks; lines above the limits are only counted. @public */
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

  /** Returns the log of one part; its lines read `part: message`. */
  forPart(part: string): PartLog {
    const write =
      (severity: Severity) =>
      (message: string, fields: LogFields = {}): void => {
        this.#write({ part, severity, message }, fields)
      }
    return {
      debug: write('debug'),
      info: write('info'),
      warn: write('warn'),
      error: write('error'),
    }
  }

  /** Lines that were not written: over the limits, or lost to a slow or failed output. */
  counters(): Readonly<Record<'heldBack' | 'dropped', number>> {
    return { heldBack: this.#heldBack, dropped: this.output.dropped }
  }

  /** Logs how many lines were suppressed; `isLast` ends the period immediately. @internal */
  summarise(isLast: boolean): void {
    const now = this.now()
    const summaries = isLast ? this.#limiter.flush(now) : this.#limiter.sweep(now)
    for (const { key, count } of summaries) {
      if (key === undefined)
        this.sink.warn(`${LOG_PART}: ${count} more lines suppressed by the rate limit`)
      else this.sink[key.severity](`${key.part}: ${count} more of "${key.message}"`)
    }
  }

  #write(kind: LineKind, fields: LogFields): void {
    const { part, severity, message } = kind
    if (!this.sink[severity]()) return
    const id = `${severity}/${part}/${message}`
    if (this.#limiter.admit(this.now(), id, kind)) {
      this.sink[severity](renameReserved(fields), `${part}: ${message}`)
    } else {
      this.#heldBack += 1
    }
  }
}

function hasReserved(fields: LogFields): boolean {
  for (const key in fields) if (reservedFields.has(key)) return true
  return false
}

/** Adds the prefix `field_` to fields that would overwrite bunyan's own. */
function renameReserved(fields: LogFields): LogFields {
  if (!hasReserved(fields)) return fields
  const entries = Object.entries(fields).map(([key, value]) => [
    reservedFields.has(key) ? `field_${key}` : key,
    value,
  ])
  return Object.fromEntries(entries) as Record<string, unknown>
}
