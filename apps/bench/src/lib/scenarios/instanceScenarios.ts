import type { WorkloadOptions } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import type { BenchSystem } from '../system/BenchSystem'
import type { Daemon } from '../system/Daemon'
import { ChangeConflict } from '../system/OperatorClient'
import { faultLoad } from './loadScenarios'
import type { BenchEvent } from './Scenario'
import { Scenario } from './Scenario'

const MAX_ATTEMPTS = 5

/** Scenarios with faults of instances run under the same load. */
abstract class InstanceScenario extends Scenario {
  override workload(): Partial<WorkloadOptions> {
    return faultLoad
  }
}

/** A zone is cut off from all others, and the network mends. */
export class ZoneCutScenario extends InstanceScenario {
  override readonly name = 'zone-cut'
  override readonly description = 'one zone is cut off for a third of the run, then mended'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    const zone = system.deployment.zones.at(-1) ?? ''
    return [
      { atMs: durationMs * 0.25, name: `cut ${zone}`, act: system.cutZone(zone) },
      { atMs: durationMs * 0.6, name: `mend ${zone}`, act: system.mendZone(zone) },
    ]
  }
}

/** Operators change the preset under load. */
export class PresetChangeScenario extends InstanceScenario {
  override readonly name = 'preset-change'
  override readonly description = 'the preset goes to peak and back to ordinary under load'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    return [
      { atMs: durationMs * 0.33, name: 'set peak', act: setPreset(system, 'peak') },
      { atMs: durationMs * 0.66, name: 'set ordinary', act: setPreset(system, 'ordinary') },
    ]
  }
}

/** Through the second instance, which is no voter in either deployment's first zone. */
function setPreset(system: BenchSystem, name: string): Effect.Effect<void> {
  return Effect.promise(async () => {
    const daemon = system.daemons[1]
    if (daemon === undefined) return
    const operator = system.operator(daemon)
    const { version } = await operator.settings()
    const commandId = `bench-${name}-${version}`
    // The leader may be lost just then: the same command id is sent again until it is answered.
    for (let attempt = 1; ; attempt++) {
      try {
        await operator.setPreset(name, version, commandId)
        return
      } catch (err) {
        // The change before this one may have been committed late: then this one lost the race.
        if (err instanceof ChangeConflict) return
        if (attempt === MAX_ATTEMPTS) throw err
      }
    }
  })
}

/** All instances are taken out of service and started again, one after the other. */
export class RollingShutdownScenario extends InstanceScenario {
  override readonly name = 'rolling-shutdown'
  override readonly description = 'every instance is shut down and started again, one by one'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    const act = Effect.gen(function* () {
      for (const daemon of system.daemons) yield* restartGracefully(system, daemon)
    })
    return [{ atMs: durationMs * 0.1, name: 'shut down all in turn', act }]
  }
}

function restartGracefully(system: BenchSystem, daemon: Daemon): Effect.Effect<void> {
  return Effect.promise(async () => {
    const exit = await daemon.shutDown()
    if (exit.code !== 0) throw new Error(`${daemon.place.instance} exited with ${exit.code}`)
    daemon.start()
    const operator = system.operator(daemon)
    while (!(await operator.isReady())) await new Promise((resolve) => setTimeout(resolve, 50))
  })
}

/** Instances crash, one of them a voter, and start again; one is frozen for a while. */
export class InstanceCrashScenario extends InstanceScenario {
  override readonly name = 'instance-crashes'
  override readonly description = 'a voter and another instance crash, a third one freezes for 4 s'

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    const [voter, , other, frozen] = system.daemons
    return [
      ...crashAt(voter, durationMs * 0.2, durationMs * 0.35),
      ...crashAt(other, durationMs * 0.45, durationMs * 0.55),
      ...freezeAt(frozen, durationMs * 0.65),
    ]
  }
}

const FREEZE_MS = 4000

function crashAt(daemon: Daemon | undefined, atMs: number, backMs: number): readonly BenchEvent[] {
  if (daemon === undefined) return []
  const { instance } = daemon.place
  const start = Effect.sync(() => {
    daemon.start()
  })
  return [
    { atMs, name: `crash ${instance}`, act: Effect.promise(() => daemon.crash()) },
    { atMs: backMs, name: `start ${instance}`, act: start },
  ]
}

function freezeAt(daemon: Daemon | undefined, atMs: number): readonly BenchEvent[] {
  if (daemon === undefined) return []
  const { instance } = daemon.place
  const freeze = Effect.sync(() => {
    daemon.freeze()
  })
  const thaw = Effect.sync(() => {
    daemon.thaw()
  })
  return [
    { atMs, name: `freeze ${instance}`, act: freeze },
    { atMs: atMs + FREEZE_MS, name: `thaw ${instance}`, act: thaw },
  ]
}
