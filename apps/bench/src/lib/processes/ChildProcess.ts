import { fork } from 'node:child_process'
import type { ChildProcess as NodeChild } from 'node:child_process'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { NumberedReply } from './answerCommands'

interface Waiting<Reply> {
  readonly resolve: (reply: Reply) => void
  readonly reject: (err: Error) => void
}

/** A child of the bench that answers commands one by one. */
export class ChildProcess<Command, Reply> {
  private readonly waiting = new Map<number, Waiting<Reply>>()
  private lastNumber = 0

  constructor(private readonly child: NodeChild) {
    child.on('message', (message: NumberedReply<Reply>) => {
      this.settle(message)
    })
    child.on('exit', () => {
      for (const { reject } of this.waiting.values()) reject(new Error('the child process ended'))
      this.waiting.clear()
    })
  }

  get pid(): number {
    return this.child.pid ?? 0
  }

  ask(command: Command): Effect.Effect<Reply> {
    return Effect.promise(
      () =>
        new Promise<Reply>((resolve, reject) => {
          const number = ++this.lastNumber
          this.waiting.set(number, { resolve, reject })
          this.child.send({ number, command })
        }),
    )
  }

  /** The child ends by itself once its channel is closed. */
  close(): void {
    if (this.child.connected) this.child.disconnect()
  }

  private settle({ number, reply, error }: NumberedReply<Reply>): void {
    const waiting = this.waiting.get(number)
    this.waiting.delete(number)
    if (error !== undefined) waiting?.reject(new Error(error))
    else waiting?.resolve(reply as Reply)
  }
}

/** Starts a child process from a bundled script; it ends with the scope. */
export function startChild<Command, Reply>(
  script: string,
): Effect.Effect<ChildProcess<Command, Reply>, never, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.sync(() => {
      const child = fork(script, { serialization: 'advanced', stdio: ['ignore', 2, 2, 'ipc'] })
      return new ChildProcess<Command, Reply>(child)
    }),
    (started) =>
      Effect.sync(() => {
        started.close()
      }),
  )
}
