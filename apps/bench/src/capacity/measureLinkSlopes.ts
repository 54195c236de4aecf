import type { Envelope } from '@cherryhitch/protocol'
import { envelope } from '@cherryhitch/protocol'
import { startLinkHost } from '@cherryhitch/rpc'
import type { LinkHost } from '@cherryhitch/rpc'
import { Effect, Exit, Scope } from 'effect'
import { head, median, pause, REPETITIONS, row } from './measuring'
import { makePlacement } from './samples'

const HOST = '127.0.0.1'
const MAX_WAITING = 500
const POLL_MS = 1

/** Two hosts in this process, of which the first sends and the second counts. */
class LinkPair {
  arrived = 0

  private constructor(
    private readonly scope: Scope.Closeable,
    readonly sender: LinkHost,
  ) {}

  static async start(): Promise<LinkPair> {
    const scope = await Effect.runPromise(Scope.make())
    const counted = { onEnvelope: (): void => undefined }
    const quiet = { onLinkUp: () => undefined, onLinkDown: () => undefined, log: () => undefined }
    const start = (instance: string, peers: readonly { instance: string; port: number }[]) =>
      Effect.runPromise(
        Scope.provide(scope)(
          startLinkHost({
            ...quiet,
            instance,
            boot: 1,
            listen: { host: HOST, port: 0 },
            peers: peers.map((peer) => ({ ...peer, host: HOST })),
            onEnvelope: () => {
              counted.onEnvelope()
            },
          }),
        ),
      )
    const receiver = await start('b', [])
    const sender = await start('a', [{ instance: 'b', port: receiver.port }])
    const pair = new LinkPair(scope, sender)
    counted.onEnvelope = () => {
      pair.arrived++
    }
    while (!sender.isUp('b')) await pause(POLL_MS)
    return pair
  }

  /** Processor microseconds of both ends for each message. */
  async send(messages: readonly Envelope[]): Promise<number> {
    const { user, system } = process.cpuUsage()
    const target = this.arrived + messages.length
    let left = 0
    for (const message of messages) {
      this.sender.send('b', message)
      if (++left % MAX_WAITING !== 0) continue
      while (target - this.arrived > messages.length - left + MAX_WAITING) await pause(POLL_MS)
    }
    while (this.arrived < target) await pause(POLL_MS)
    const after = process.cpuUsage({ user, system })
    return (after.user + after.system) / messages.length
  }

  close(): Promise<void> {
    return Effect.runPromise(Scope.close(this.scope, Exit.void))
  }
}

/** Prints what a message costs that crosses a link, both ends in this process. */
export async function measureLinkSlopes(): Promise<void> {
  const columns = ['tasks a message', 'µs a message', 'µs a task']
  head('Link: PlaceTasks, both ends, full batches', ...columns)
  for (const tasks of [1, 8, 30, 120]) {
    const pair = await LinkPair.start()
    const count = Math.max(200, Math.round(12_000 / tasks))
    const messages = Array.from({ length: count }, (_, n) =>
      envelope({ case: 'placeTasks', value: makePlacement(n, tasks) }),
    )
    await pair.send(messages)
    const all: number[] = []
    for (let n = 0; n < REPETITIONS; n++) all.push(await pair.send(messages))
    await pair.close()
    row(tasks, median(all), median(all) / tasks)
  }
}
