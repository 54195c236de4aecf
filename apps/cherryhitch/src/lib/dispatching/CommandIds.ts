import { randomBytes } from 'node:crypto'

/** Random bytes in the ids of a process; two processes draw the same ones practically never. */
const RANDOM_BYTES = 8

/**
 * Ids of the commands that a process proposes. The log answers a repeated id with its first answer
 * and applies nothing, so no other command of any process may have the same id. The time of the
 * start doesn't tell processes apart: the clock may be set back between them.
 *
 * @internal
 */
export class CommandIds {
  private readonly random = randomBytes(RANDOM_BYTES).toString('hex')
  private count = 0

  constructor(private readonly instance: string) {}

  next(kind: string): string {
    return `${kind}.${this.instance}.${this.random}.${++this.count}`
  }
}
