import http from 'node:http'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { requestJson } from '../http/requestJson'

/** @public */
export interface BalancerOptions {
  /** Addresses ("host:port") of the instances' caller interfaces. */
  readonly instances: readonly string[]
  readonly checkMs: number
  readonly checkTimeoutMs: number
}

/** @public */
export const defaultBalancerOptions: Omit<BalancerOptions, 'instances'> = {
  checkMs: 200,
  checkTimeoutMs: 500,
}

const OK = 200

/** Stands for the platform's balancer: round robin over the instances that say ready. @public */
export class Balancer {
  private readonly ready = new Set<string>()
  private turn = 0

  /** @internal */
  constructor(private readonly instances: readonly string[]) {}

  /** How many instances were ready at their last check. */
  get readyCount(): number {
    return this.ready.size
  }

  /** The next instance in turn; undefined when none is ready. */
  next(): string | undefined {
    for (let step = 0; step < this.instances.length; step++) {
      const instance = this.instances[(this.turn + step) % this.instances.length]
      if (instance === undefined || !this.ready.has(instance)) continue
      this.turn = (this.turn + step + 1) % this.instances.length
      return instance
    }
    return undefined
  }

  /** A refused connection takes the instance out until its next good check. */
  noteRefused(instance: string): void {
    this.ready.delete(instance)
  }

  /** @internal */
  noteCheck(instance: string, isReady: boolean): void {
    if (isReady) this.ready.add(instance)
    else this.ready.delete(instance)
  }
}

function check(
  balancer: Balancer,
  instance: string,
  options: BalancerOptions,
): Effect.Effect<void> {
  return Effect.suspend(() => {
    // A kept connection could hide that the instance does not listen any more.
    const agent = new http.Agent({ keepAlive: false })
    return requestJson({
      method: 'GET',
      address: instance,
      path: '/readyz',
      timeoutMs: options.checkTimeoutMs,
      agent,
    })
  }).pipe(
    Effect.match({
      onSuccess: (response) => {
        balancer.noteCheck(instance, response.status === OK)
      },
      onFailure: () => {
        balancer.noteCheck(instance, false)
      },
    }),
  )
}

/**
 * Starts a balancer whose first round of checks is done when it is handed over; its checks
 * end with the scope.
 *
 * @public
 */
export function startBalancer(
  input: Partial<BalancerOptions> & Pick<BalancerOptions, 'instances'>,
): Effect.Effect<Balancer, never, Scope.Scope> {
  const options: BalancerOptions = { ...defaultBalancerOptions, ...input }
  const balancer = new Balancer(options.instances)
  const checks = options.instances.map((instance) => check(balancer, instance, options))
  return Effect.gen(function* () {
    yield* Effect.all(checks, { concurrency: 'unbounded', discard: true })
    for (const one of checks) {
      yield* Effect.forkScoped(Effect.forever(Effect.andThen(Effect.sleep(options.checkMs), one)))
    }
    return balancer
  })
}
