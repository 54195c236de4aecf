import { initVoters } from '@cherryhitch/control'
import { openDataFolder } from '@cherryhitch/storage'
import { Effect, Exit } from 'effect'
import { CliError, usageError } from '../../CliError'
import { ExitCode } from '../../ExitCode'
import { describeExit } from '../describeExit'
import { readSettings } from '../readSettings'

/**
 * Makes the data folder of one of the first voters.
 *
 * @returns a sentence for the operator
 * @throws CliError when the folder holds a voter already, or the settings are wrong
 * @internal
 */
export async function initVotersFolder(
  settingsFile: string | undefined,
  clusterId: string | undefined,
): Promise<string> {
  if (settingsFile === undefined || clusterId === undefined) {
    throw usageError('--settings and --cluster are needed.', 'See cherryhitch control --help.')
  }
  const settings = readSettings(settingsFile)
  const { instance, dataFolder, peers } = settings
  if (!settings.voter || dataFolder === undefined) {
    throw usageError(`${instance} is no voter.`, 'Set "voter" and "dataFolder" in its settings.')
  }
  const voters = [instance, ...peers.filter((peer) => peer.voter).map((peer) => peer.instance)]
  const init = Effect.gen(function* () {
    const { disk } = yield* openDataFolder(dataFolder)
    return yield* initVoters(disk, { instance, clusterId, voters })
  })
  const exit = await Effect.runPromiseExit(Effect.scoped(init))
  if (Exit.isSuccess(exit)) return `${dataFolder}: voter ${exit.value} is made`
  throw new CliError(
    ExitCode.Failed,
    `${dataFolder} was not initialized: ${describeExit(exit)}.`,
    'A folder is initialized once only; a wiped one joins as a learner (docs/operators.md).',
  )
}
