import { Effect, Scope } from 'effect'

/** A command with the number that its answer carries. */
export interface NumberedCommand<Command> {
  readonly number: number
  readonly command: Command
}

/** The answer to a command; `error` is set when it failed. */
export interface NumberedReply<Reply> {
  readonly number: number
  readonly reply?: Reply
  readonly error?: string
}

/** Carries one command out. What it starts lives until the process ends. */
export type CommandHandler<Command, Reply> = (
  command: Command,
) => Effect.Effect<Reply, unknown, Scope.Scope>

/**
 * The main loop of a child process: carries out the parent's commands one after the other, and
 * ends when the parent goes away.
 */
export function answerCommands<Command, Reply>(handle: CommandHandler<Command, Reply>): void {
  const program = Effect.gen(function* () {
    const scope = yield* Effect.scope
    const listen = (message: NumberedCommand<Command>): void => {
      const { number, command } = message
      const work = Scope.provide(handle(command), scope)
      Effect.runPromise(work).then(
        (reply) => process.send?.({ number, reply }),
        (err: unknown) => process.send?.({ number, error: String(err) }),
      )
    }
    process.on('message', listen)
    yield* Effect.callback((resume) => {
      process.on('disconnect', () => {
        resume(Effect.void)
      })
    })
  })
  void Effect.runPromise(Effect.scoped(program)).then(() => process.exit(0))
}
