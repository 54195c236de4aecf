import type { HttpServer } from '@cherryhitch/http-api'

/** What an HTTP server has counted, with a number for each status it answered. @internal */
export function httpCounters(server: HttpServer): Readonly<Record<string, number>> {
  const { answers, ...totals } = server.counters()
  const byStatus = [...answers].map(([status, count]) => [`answers_${status}`, count] as const)
  return { ...totals, ...Object.fromEntries(byStatus) }
}
