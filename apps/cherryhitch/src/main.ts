/** Entry point of the program: runs one command line and exits with its exit code. */
import { processIo } from './lib/cli/CliIo'
import { runCli } from './lib/cli/runCli'

void runCli(process.argv, processIo()).then((exitCode) => {
  process.exitCode = exitCode
})
