/** One played day, as an entry of `journal/` has it. */
export interface PlayedDay {
  readonly name: string
  /** Worth before it is set against the marks. */
  readonly G: number | null
  /** Broken rules by their names. */
  readonly rules: Readonly<Record<string, unknown>>
  /** False where the day fails its gate, for whatever reason. */
  readonly gate: boolean | null
  /** What was short of the gate. */
  readonly short: readonly string[]
  /** Why the day counts for nothing, if it doesn't. */
  readonly fault: unknown
}

/** An entry of `journal/`. */
export interface JournalEntry {
  readonly id: string
  readonly cmd: string
  readonly head: string
  readonly site: string
  readonly days: readonly PlayedDay[]
}

/** What the days of one entry showed. */
export interface DaysSummary {
  readonly days: number
  readonly withBrokenRules: readonly PlayedDay[]
  /** Days that fail the gate, those with a broken rule among them. */
  readonly failingGate: readonly PlayedDay[]
  readonly withFaults: readonly PlayedDay[]
  readonly leastWorth: number
  readonly meanWorth: number
}

/** Counts all ways in which a day may be red: rules, gate and faults. */
export function sumDays({ days }: JournalEntry): DaysSummary {
  const worth = days.flatMap(({ G }) => G ?? [])
  return {
    days: days.length,
    withBrokenRules: days.filter(({ rules }) => Object.keys(rules).length > 0),
    failingGate: days.filter(({ gate, short }) => gate === false || short.length > 0),
    withFaults: days.filter(({ fault }) => fault !== null && fault !== undefined),
    leastWorth: Math.min(...worth),
    meanWorth: worth.reduce((sum, one) => sum + one, 0) / Math.max(1, worth.length),
  }
}
