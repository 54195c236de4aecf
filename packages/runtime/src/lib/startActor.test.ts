import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { Effect, Exit, Scope } from 'effect'
import { StateMachine } from './StateMachine'
import { startActor } from './startActor'
import type { Actor } from './startActor'

const TICK_MS = 10

/** Records its ticks; each event sets when the next tick is due. */
class DueMachine extends StateMachine<number, never> {
  readonly ticks: number[] = []
  #dueAt: number

  constructor(dueAt: number) {
    super()
    this.#dueAt = dueAt
  }

  override step(_now: number, dueAt: number): readonly never[] {
    this.#dueAt = dueAt
    return []
  }

  override tick(now: number): readonly never[] {
    this.ticks.push(now)
    return []
  }

  override get tickDueAt(): number {
    return this.#dueAt
  }
}

describe('ticks of an actor', () => {
  let now = 0
  beforeEach(() => {
    now = 0
    mock.timers.enable({ apis: ['setTimeout', 'setImmediate'] })
  })
  afterEach(() => {
    mock.timers.reset()
  })

  function open(machine: DueMachine): { part: Actor<number>; close: () => void } {
    const scope = Scope.makeUnsafe()
    const clock = { now: () => now }
    const onDefect = (defect: unknown): void => {
      throw defect
    }
    const started = startActor(machine, {
      perform: () => undefined,
      onDefect,
      tickMs: TICK_MS,
      clock,
    })
    const part = Effect.runSync(Scope.provide(started, scope))
    return {
      part,
      close: () => {
        Effect.runSync(Scope.close(scope, Exit.void))
      },
    }
  }

  function advance(ms: number): void {
    for (let passed = 0; passed < ms; passed++) {
      now++
      mock.timers.tick(1)
    }
  }

  it('come at the minimum interval while a tick is always due', () => {
    const machine = new DueMachine(-Infinity)
    open(machine)
    advance(100)
    assert.ok(machine.ticks.length >= 8 && machine.ticks.length <= 10, `${machine.ticks.length}`)
  })

  it('do not come while no tick is due', () => {
    const machine = new DueMachine(Infinity)
    open(machine)
    advance(1_000)
    assert.deepEqual(machine.ticks, [])
  })

  it('come at the due time that an event has set', () => {
    const machine = new DueMachine(Infinity)
    const { part } = open(machine)
    advance(100)
    part.tell(150)
    advance(200)
    assert.ok((machine.ticks[0] ?? 0) >= 150 && (machine.ticks[0] ?? 0) <= 152)
  })

  it('are delayed when an event postpones the due time', () => {
    const machine = new DueMachine(50)
    const { part } = open(machine)
    advance(10)
    part.tell(500)
    advance(400)
    assert.deepEqual(machine.ticks, [])
    advance(100)
    assert.equal(machine.ticks.length > 0, true)
  })

  it('stop when the scope ends', () => {
    const machine = new DueMachine(-Infinity)
    const { close } = open(machine)
    advance(20)
    close()
    const before = machine.ticks.length
    advance(100)
    assert.equal(machine.ticks.length, before)
  })
})
