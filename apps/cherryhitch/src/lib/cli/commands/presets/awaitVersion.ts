import { CliError } from '../../CliError'
import type { CliIo } from '../../CliIo'
import { ExitCode } from '../../ExitCode'
import type { HttpClient } from '../../http/HttpClient'
import type { InstanceRow } from '../../http/operatorViews'
import { requireRead } from '../../http/problems'

const POLL_MS = 250
/** A change reaches all that can be reached within seconds; more means that something is cut off. */
const LIMIT_MS = 10_000

/**
 * Waits until every living instance works under a version, as the asked one hears.
 *
 * @returns a sentence for the operator
 * @throws CliError that names the instances which lack it
 * @internal
 */
export async function awaitVersion(
  client: HttpClient,
  version: number,
  io: CliIo,
): Promise<string> {
  const deadline = io.now() + LIMIT_MS
  for (;;) {
    const answer = requireRead(await client.ask({ method: 'GET', path: '/v1/instances' }))
    const { instances } = answer as { instances: readonly InstanceRow[] }
    const alive = instances.filter((row) => row.alive)
    const lacking = alive.filter((row) => row.settingsVersion < version)
    if (lacking.length === 0) return describe(instances.length, alive.length, version)
    if (io.now() >= deadline) throw lackingError(lacking, version)
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}

function describe(known: number, alive: number, version: number): string {
  const cutOff = known - alive
  const rest = cutOff === 0 ? '' : `; ${cutOff} can't be heard, and take it when they are back`
  return `version ${version} is in use at all ${alive} instances that are alive${rest}`
}

function lackingError(lacking: readonly InstanceRow[], version: number): CliError {
  const names = lacking.map(({ instance }) => instance).join(', ')
  return new CliError(
    ExitCode.Failed,
    `Version ${version} is committed, but not yet in use at ${names}.`,
    'It never reverts. See "cherryhitch instances" and the log there.',
  )
}
