import type { CliIo } from '../CliIo'
import type { CommandContext } from '../CommandContext'
import { operatorClient, operatorOptions, printAnswer } from '../CommandContext'
import type { ConnectionFlags } from '../http/HttpClient'
import type { EndpointRow, InstanceRow, JobRow } from '../http/operatorViews'
import { requireRead } from '../http/problems'
import { endpointTable, instanceTable, jobTable } from './viewTables'

/** Registers the commands by which operators look at the system. @internal */
export function registerViewCommands({ cli, io }: CommandContext): void {
  operatorOptions(cli.command('instances', 'List the instances as one of them sees them'))
    .example('cherryhitch instances --url http://127.0.0.1:7113')
    .action(async (flags: ConnectionFlags) => {
      const { instances } = (await read('/v1/instances', flags, io)) as {
        instances: readonly InstanceRow[]
      }
      printAnswer(io, flags, instances, () => instanceTable(instances))
    })
  operatorOptions(cli.command('endpoints', 'List the endpoints that one instance owns'))
    .example('cherryhitch endpoints --json')
    .action(async (flags: ConnectionFlags) => {
      const { endpoints } = (await read('/v1/endpoints', flags, io)) as {
        endpoints: readonly EndpointRow[]
      }
      printAnswer(io, flags, endpoints, () => endpointTable(endpoints))
    })
  operatorOptions(cli.command('jobs', 'List the jobs that one instance coordinates'))
    .example('cherryhitch jobs')
    .action(async (flags: ConnectionFlags) => {
      const { jobs } = (await read('/v1/jobs', flags, io)) as { jobs: readonly JobRow[] }
      printAnswer(io, flags, jobs, () => jobTable(jobs))
    })
}

async function read(path: string, flags: ConnectionFlags, io: CliIo): Promise<unknown> {
  return requireRead(await operatorClient(flags, io).ask({ method: 'GET', path }))
}
