import type { HttpServer } from '@cherryhitch/http-api'

/** The counters of an HTTP server, with one counter for each status code it returned. @internal */
export function httpCounters(server: HttpServer): Readonly<Record<string, number>> {
  const { answers, ...totals } = server.counters()
  const byStatus = [...answers].map(([status, count]) => [`answers_${status}`, count] as const)
  return { ...totals, ...Object.fromEntries(byStatus) }
}
