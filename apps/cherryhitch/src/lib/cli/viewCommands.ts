import type { CommandContext } from './CommandContext'
import { connectionOptions, operatorClient, printAnswer } from './CommandContext'
import { formatTable } from './formatTable'
import type { ConnectionFlags } from './httpClient'
import type { EndpointRow, InstanceRow, JobRow } from './operatorViews'
import { requireGood } from './problems'

/** Registers the commands by which operators look at the system. @internal */
export function registerViewCommands(context: CommandContext): void {
  registerInstances(context)
  registerEndpoints(context)
  registerJobs(context)
}

function registerInstances({ cli, io }: CommandContext): void {
  connectionOptions(cli.command('instances', 'List the instances as one of them sees them'))
    .example('cherryhitch instances --url http://127.0.0.1:7103')
    .action(async (flags: ConnectionFlags) => {
      const client = operatorClient(flags, io)
      const answer = requireGood(await client.ask({ method: 'GET', path: '/v1/instances' }))
      const { instances } = answer as { instances: readonly InstanceRow[] }
      printAnswer(io, flags, instances, () => instanceTable(instances))
    })
}

function instanceTable(instances: readonly InstanceRow[]): string {
  const headings = ['INSTANCE', 'ZONE', 'STATE', 'ALIVE', 'HEARD', 'RTT', 'SETTINGS', 'SLOTS FREE']
  const rows = instances.map((row) => [
    row.instance,
    row.zone,
    row.state,
    row.alive ? 'yes' : 'no',
    `${row.heardMsAgo} ms ago`,
    `${row.roundTripMs.toFixed(1)} ms`,
    row.settingsVersion,
    row.services.map((s) => `${s.service} ${s.freeSlots}/${s.slots}`).join(', '),
  ])
  return formatTable(headings, rows)
}

function registerEndpoints({ cli, io }: CommandContext): void {
  connectionOptions(cli.command('endpoints', 'List the endpoints that an instance owns'))
    .example('cherryhitch endpoints --json')
    .action(async (flags: ConnectionFlags) => {
      const client = operatorClient(flags, io)
      const answer = requireGood(await client.ask({ method: 'GET', path: '/v1/endpoints' }))
      const { endpoints } = answer as { endpoints: readonly EndpointRow[] }
      printAnswer(io, flags, endpoints, () => endpointTable(endpoints))
    })
}

function endpointTable(endpoints: readonly EndpointRow[]): string {
  const headings = ['ENDPOINT', 'SERVICE', 'ZONE', 'RACK', 'STATE', 'BUSY', 'HEARD', 'EJECTED']
  const rows = endpoints.map((row) => [
    row.endpoint,
    row.service,
    row.zone,
    row.rack,
    row.state,
    `${row.busySlots}/${row.slots}`,
    `${row.heardMsAgo} ms ago`,
    row.ejected ? 'yes' : 'no',
  ])
  return formatTable(headings, rows)
}

function registerJobs({ cli, io }: CommandContext): void {
  connectionOptions(cli.command('jobs', 'List the jobs that an instance coordinates'))
    .example('cherryhitch jobs')
    .action(async (flags: ConnectionFlags) => {
      const client = operatorClient(flags, io)
      const answer = requireGood(await client.ask({ method: 'GET', path: '/v1/jobs' }))
      const { jobs } = answer as { jobs: readonly JobRow[] }
      printAnswer(io, flags, jobs, () => jobTable(jobs))
    })
}

function jobTable(jobs: readonly JobRow[]): string {
  const headings = ['JOB', 'STATE', 'TASKS', 'RAN', 'REASON', 'SETTINGS']
  const rows = jobs.map((row) => [
    row.jobId,
    row.state,
    `${row.tasksEnded}/${row.tasks}`,
    row.outcome,
    row.reason,
    row.settingsVersion,
  ])
  return formatTable(headings, rows)
}
