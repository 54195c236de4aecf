/** A dispatching instance as a child process, whose disk behaves as its parent says. */
import { runDispatch } from '@cherryhitch/app'
import { DispatchRole, formatSettingsProblem, loadDispatchSettings } from '@cherryhitch/settings'
import { Effect, Exit } from 'effect'
import { ShadowDisk } from './platform/ShadowDisk'
import type { DiskState } from './platform/diskState'

function openDisk(folder: string): ShadowDisk {
  const disk = new ShadowDisk(folder)
  process.on('message', (state) => {
    disk.state = state as DiskState
  })
  process.on('disconnect', () => process.exit(1))
  process.channel?.unref()
  return disk
}

async function main(): Promise<void> {
  const [, , file = ''] = process.argv
  const loaded = loadDispatchSettings(file, DispatchRole.Dispatch)
  if (loaded.err) throw new Error(loaded.val.map(formatSettingsProblem).join('\n'))
  const exit = await Effect.runPromiseExit(runDispatch(loaded.val, openDisk))
  if (Exit.isFailure(exit)) throw new Error(String(exit.cause))
}

main().catch((err: unknown) => {
  process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`)
  process.exitCode = 1
})
