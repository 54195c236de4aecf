import type { EndpointRow, InstanceRow, JobRow } from '../http/operatorViews'
import { formatTable } from '../output/formatTable'

/** @internal */
export function instanceTable(instances: readonly InstanceRow[]): string {
  const headings = ['INSTANCE', 'ZONE', 'STATE', 'ALIVE', 'HEARD', 'RTT', 'SETTINGS', 'SLOTS FREE']
  const rows = instances.map((row) => [
    row.instance,
    row.zone,
    row.state,
    yesOrNo(row.alive),
    `${row.heardMsAgo} ms ago`,
    `${row.roundTripMs.toFixed(1)} ms`,
    row.settingsVersion,
    row.services.map((s) => `${s.service} ${s.freeSlots}/${s.slots}`).join(', '),
  ])
  return withSummary(formatTable(headings, rows), summarizeInstances(instances))
}

function summarizeInstances(instances: readonly InstanceRow[]): string {
  const alive = instances.filter((row) => row.alive)
  const versions = [...new Set(alive.map((row) => row.settingsVersion))].sort((a, b) => a - b)
  const spread =
    versions.length > 1 ? `settings versions differ: ${versions.join(', ')}` : undefined
  const parts = [
    `${instances.length} instances`,
    `${alive.length} alive`,
    `${sum(alive.flatMap((row) => row.services.map((s) => s.queuedTasks)))} tasks queued`,
    `${sum(alive.flatMap((row) => row.services.map((s) => s.ejectedEndpoints)))} endpoints ejected`,
  ]
  return [...parts, ...(spread === undefined ? [] : [spread])].join(', ')
}

/** @internal */
export function endpointTable(endpoints: readonly EndpointRow[]): string {
  const headings = ['ENDPOINT', 'SERVICE', 'ZONE', 'RACK', 'STATE', 'BUSY', 'HEARD', 'EJECTED']
  const rows = endpoints.map((row) => [
    row.endpoint,
    row.service,
    row.zone,
    row.rack,
    row.state,
    `${row.busySlots}/${row.slots}`,
    `${row.heardMsAgo} ms ago`,
    yesOrNo(row.ejected),
  ])
  return withSummary(formatTable(headings, rows), summarizeEndpoints(endpoints))
}

function summarizeEndpoints(endpoints: readonly EndpointRow[]): string {
  const owners = [...new Set(endpoints.map(({ owner }) => owner))]
  const parts = [
    `${endpoints.length} endpoints`,
    `${sum(endpoints.map(({ busySlots }) => busySlots))} of ${sum(endpoints.map(({ slots }) => slots))} slots busy`,
    `${endpoints.filter(({ state }) => state === 'leaving').length} leaving`,
    `${endpoints.filter(({ ejected }) => ejected).length} ejected`,
  ]
  const owned = owners.length === 0 ? '' : `; all owned by ${owners.join(', ')}`
  return parts.join(', ') + owned
}

/** @internal */
export function jobTable(jobs: readonly JobRow[]): string {
  const headings = ['JOB', 'STATE', 'TASKS', 'RAN', 'REASON', 'SETTINGS']
  const rows = jobs.map((row) => [
    row.jobId,
    row.state,
    `${row.tasksEnded}/${row.tasks}`,
    row.outcome,
    row.reason,
    row.settingsVersion,
  ])
  const running = jobs.filter(({ state }) => state === 'running').length
  const summary = `${running} running, ${jobs.length - running} ended`
  return withSummary(formatTable(headings, rows), summary)
}

function withSummary(table: string, summary: string): string {
  return `${table}\n\n${summary}`
}

function yesOrNo(value: boolean): string {
  return value ? 'yes' : 'no'
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
