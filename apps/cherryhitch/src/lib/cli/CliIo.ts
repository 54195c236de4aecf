import { Effect } from 'effect'
import { awaitSignal } from '../serve/awaitSignal'

/** What a command may use of the process; tests give their own. @public */
export interface CliIo {
  readonly print: (text: string) => void
  readonly printError: (text: string) => void
  /** Whether a person watches: progress is shown only then. */
  readonly isTerminal: boolean
  readonly env: Readonly<Record<string, string | undefined>>
  /** Milliseconds since the epoch. */
  readonly now: () => number
  /** Ends when the process is asked to stop. */
  readonly awaitStop: () => Promise<string>
}

/** The process's own streams, environment, clock and signals. @public */
export function processIo(): CliIo {
  return {
    print: (text) => {
      process.stdout.write(`${text}\n`)
    },
    printError: (text) => {
      process.stderr.write(`${text}\n`)
    },
    isTerminal: process.stderr.isTTY,
    env: process.env,
    now: () => Date.now(),
    awaitStop: () => Effect.runPromise(awaitSignal),
  }
}
