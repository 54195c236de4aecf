import { EndpointLedger, startStandInEndpoint } from '@cherryhitch/stand-ins'
import type { StandInEndpoint } from '@cherryhitch/stand-ins'
import { Effect, Exit } from 'effect'
import { CliError, usageError } from '../CliError'
import type { CliIo } from '../CliIo'
import type { CommandContext } from '../CommandContext'
import { ExitCode } from '../ExitCode'
import { wholeNumber } from '../flags/wholeNumber'
import { describeExit } from './describeExit'

interface StandInFlags {
  readonly service?: string
  readonly zone?: string
  readonly instances: string
  readonly endpoint: string
  readonly rack: string
  readonly slots: string
  readonly port: string
}

const LEAVE_POLL_MS = 50
const DEFAULT_INSTANCE = '127.0.0.1:7112'

/** Registers `stand-in-endpoint`. @internal */
export function registerStandInCommand({ cli, io }: CommandContext): void {
  cli
    .command('stand-in-endpoint', 'For trying out: an endpoint that only pretends to work')
    .option('--service <name>', 'Service that it pretends to offer')
    .option('--zone <name>', 'Availability zone that it says it is in')
    .option('--instances <addresses>', 'Endpoint interfaces of instances, with commas between', {
      default: DEFAULT_INSTANCE,
    })
    .option('--endpoint <name>', 'Its own name', { default: 'stand-in-1' })
    .option('--rack <name>', 'Rack that it says it is in', { default: 'stand-in-rack' })
    .option('--slots <n>', 'Tasks that it runs at the same time', { default: '8' })
    .option('--port <port>', 'Port on 127.0.0.1; 0 takes a free one', { default: '0' })
    .example('cherryhitch stand-in-endpoint --service tracing --zone ishikari-1')
    .action((flags: StandInFlags) => runStandIn(flags, io))
}

async function runStandIn(flags: StandInFlags, io: CliIo): Promise<void> {
  const { service, zone, endpoint, rack } = flags
  if (service === undefined || zone === undefined) {
    throw usageError(
      '--service and --zone are needed.',
      'See cherryhitch stand-in-endpoint --help.',
    )
  }
  const running = Effect.gen(function* () {
    const standIn = yield* startStandInEndpoint({
      service,
      zone,
      endpoint,
      rack,
      instances: readAddresses(flags.instances),
      slots: wholeNumber(flags.slots, '--slots'),
      port: wholeNumber(flags.port, '--port'),
      ledger: new EndpointLedger(),
    })
    const { address } = standIn
    io.print(`stand-in endpoint ${endpoint} of ${service} in ${zone} at ${address}`)
    io.print('Each task sleeps for the "runMs" of its payload. Stop it with Ctrl-C.')
    yield* Effect.promise(io.awaitStop)
    io.print('leaving: new tasks are refused, running ones end')
    yield* leave(standIn)
  })
  const exit = await Effect.runPromiseExit(Effect.scoped(running))
  if (Exit.isSuccess(exit)) return
  throw new CliError(
    ExitCode.Failed,
    `The stand-in does not run: ${describeExit(exit)}.`,
    'Give another --port.',
  )
}

function leave(standIn: StandInEndpoint): Effect.Effect<void> {
  return Effect.gen(function* () {
    standIn.leave()
    // The heartbeat that says so goes out in the meantime.
    do yield* Effect.sleep(LEAVE_POLL_MS)
    while (standIn.runningTaskIds.length > 0)
  })
}

const addressPattern = /^.+:\d+$/

function readAddresses(text: string): readonly string[] {
  const addresses = text.split(',').map((address) => address.trim())
  const wrong = addresses.find((address) => !addressPattern.test(address))
  if (wrong === undefined) return addresses
  throw usageError(`"${wrong}" is no address.`, `Give one such as --instances ${DEFAULT_INSTANCE}.`)
}
