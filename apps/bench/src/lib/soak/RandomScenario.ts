import { SeededRandom } from '@cherryhitch/stand-ins'
import type { PlacedEndpoint, WorkloadOptions } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import { EndpointFault } from '../processes/commands'
import type { BenchEvent } from '../scenarios/Scenario'
import { Scenario } from '../scenarios/Scenario'
import type { BenchSystem } from '../system/BenchSystem'
import type { Daemon } from '../system/Daemon'
import { SettingsWatch } from './SettingsWatch'

type Draw = (atMs: number, untilMs: number) => readonly BenchEvent[]

const MIN_FAULTS = 3
const MAX_FAULTS = 9
const FIRST_SHARE = 0.08
const LAST_SHARE = 0.6
/** By then every fault is over, so that the end of the run shows whether the system recovers. */
const MENDED_SHARE = 0.75
const LOOK_MS = 500
const READY_LIMIT_MS = 10_000
const POLL_MS = 50
const PRESETS = ['ordinary', 'peak', 'maintenance']
/** Stays of an endpoint in a faulty state; it then returns to normal. */
const passing = [
  EndpointFault.FailFast,
  EndpointFault.FailSlow,
  EndpointFault.Straggle,
  EndpointFault.Hang,
  EndpointFault.Silence,
]
/** Ends of an endpoint's process; a new one starts later. */
const ending = [EndpointFault.Kill, EndpointFault.Leave]

/** Faults of all kinds at drawn times, together or twice. The draws depend on the seed alone. */
export class RandomScenario extends Scenario {
  override readonly name = 'random'
  override readonly description: string
  /** What the run's own checks found, beside those of the ledgers. */
  readonly violations: string[] = []
  private readonly random: SeededRandom

  constructor(seed: number) {
    super()
    this.random = new SeededRandom(seed)
    this.description = `faults drawn from seed ${seed}`
  }

  override workload(durationMs: number): Partial<WorkloadOptions> {
    const { random } = this
    const busyShare = random.between(0.3, 0.75)
    const everyMs = durationMs / random.integer(2, 4)
    const cancelWaves = { everyMs, share: random.between(0.2, 0.8), reachMs: 2000 }
    const burst = { everyMs, lengthMs: durationMs / 20, factor: random.integer(3, 10) }
    const hasWaves = random.chance(0.5)
    const hasBursts = random.chance(0.4)
    return { busyShare, ...(hasWaves ? { cancelWaves } : {}), ...(hasBursts ? { burst } : {}) }
  }

  override events(system: BenchSystem, durationMs: number): readonly BenchEvent[] {
    const { random } = this
    const watch = new SettingsWatch(system, this.violations)
    const draws = this.draws(system, watch)
    const faults = random.integer(MIN_FAULTS, MAX_FAULTS)
    const events = Array.from({ length: faults }, () => {
      const atMs = random.between(FIRST_SHARE, LAST_SHARE) * durationMs
      const untilMs = random.between(atMs, MENDED_SHARE * durationMs)
      return random.pick(draws)(atMs, untilMs)
    }).flat()
    return [...events, ...this.checks(watch, durationMs)]
  }

  private checks(watch: SettingsWatch, durationMs: number): readonly BenchEvent[] {
    const look = Effect.promise(() => watch.look())
    const looks = Array.from({ length: Math.floor(durationMs / LOOK_MS) - 1 }, () =>
      Effect.andThen(look, Effect.sleep(LOOK_MS)),
    )
    const agree = Effect.promise(() => watch.awaitAgreement(Date.now))
    return [
      { atMs: 0, name: 'watch the settings', act: Effect.asVoid(Effect.all(looks)) },
      { atMs: durationMs * 0.9, name: 'await that all settings agree', act: agree },
    ]
  }

  private draws(system: BenchSystem, watch: SettingsWatch): readonly Draw[] {
    // Each endpoint and each instance is drawn once: two faults of one would undo each other.
    const endpoints = shuffle(this.random, system.endpoints)
    const daemons = shuffle(this.random, system.daemons)
    const withEndpoint =
      (faults: readonly EndpointFault[], end: EndpointFault): Draw =>
      (atMs, untilMs) => {
        const endpoint = endpoints.pop()
        const fault = this.random.pick(faults)
        return endpoint === undefined ? [] : faultFor(system, endpoint, fault, end, atMs, untilMs)
      }
    const withDaemon =
      (make: (daemon: Daemon, atMs: number, untilMs: number) => readonly BenchEvent[]): Draw =>
      (atMs, untilMs) => {
        const daemon = daemons.pop()
        return daemon === undefined ? [] : make(daemon, atMs, untilMs)
      }
    const { zones } = system.deployment
    return [
      withEndpoint(passing, EndpointFault.None),
      withEndpoint(ending, EndpointFault.Restart),
      withDaemon((daemon, atMs, untilMs) => crash(watch, daemon, atMs, untilMs)),
      withDaemon((daemon, atMs, untilMs) => freeze(daemon, atMs, untilMs)),
      withDaemon((daemon, atMs) => [this.restart(system, watch, daemon, atMs)]),
      (atMs, untilMs) => cut(system, this.random.pick(zones), atMs, untilMs),
      (atMs) => [silence(system, this.random.pick(zones), atMs)],
      (atMs) => [this.changePreset(system, watch, atMs)],
      (atMs) => [this.changePreset(system, watch, atMs), this.changePreset(system, watch, atMs)],
    ]
  }

  private changePreset(system: BenchSystem, watch: SettingsWatch, atMs: number): BenchEvent {
    const name = this.random.pick(PRESETS)
    const daemon = this.random.pick(system.daemons)
    const commandId = `soak-${Math.floor(this.random.between(0, 1e9))}`
    const act = Effect.promise(() => watch.setPreset(daemon, name, commandId))
    return { atMs, name: `set ${name} at ${daemon.place.instance}`, act }
  }

  private restart(
    system: BenchSystem,
    watch: SettingsWatch,
    daemon: Daemon,
    atMs: number,
  ): BenchEvent {
    const { instance } = daemon.place
    const act = Effect.promise(async () => {
      const exit = await daemon.shutDown()
      watch.noteEnd(daemon)
      if (exit.code !== 0) this.violations.push(`${instance} shut down with code ${exit.code}`)
      daemon.start()
      const until = Date.now() + READY_LIMIT_MS
      const operator = system.operator(daemon)
      while (!(await operator.isReady()) && Date.now() < until) {
        await new Promise((resolve) => setTimeout(resolve, POLL_MS))
      }
    })
    return { atMs, name: `shut down and start ${instance}`, act }
  }
}

function shuffle<T>(random: SeededRandom, items: readonly T[]): T[] {
  return items
    .map((item) => ({ item, order: random.next() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item)
}

function faultFor(
  system: BenchSystem,
  endpoint: PlacedEndpoint,
  fault: EndpointFault,
  end: EndpointFault,
  atMs: number,
  untilMs: number,
): readonly BenchEvent[] {
  const name = endpoint.endpoint
  return [
    { atMs, name: `${fault} ${name}`, act: system.fault(endpoint, fault) },
    { atMs: untilMs, name: `${end} ${name}`, act: system.fault(endpoint, end) },
  ]
}

function crash(
  watch: SettingsWatch,
  daemon: Daemon,
  atMs: number,
  untilMs: number,
): readonly BenchEvent[] {
  const { instance } = daemon.place
  const end = Effect.promise(async () => {
    watch.noteEnd(daemon)
    await daemon.crash()
  })
  const start = Effect.sync(() => {
    daemon.start()
  })
  return [
    { atMs, name: `crash ${instance}`, act: end },
    { atMs: untilMs, name: `start ${instance}`, act: start },
  ]
}

function freeze(daemon: Daemon, atMs: number, untilMs: number): readonly BenchEvent[] {
  const { instance } = daemon.place
  const stop = Effect.sync(() => {
    daemon.freeze()
  })
  const go = Effect.sync(() => {
    daemon.thaw()
  })
  return [
    { atMs, name: `freeze ${instance}`, act: stop },
    { atMs: untilMs, name: `thaw ${instance}`, act: go },
  ]
}

function cut(
  system: BenchSystem,
  zone: string,
  atMs: number,
  untilMs: number,
): readonly BenchEvent[] {
  return [
    { atMs, name: `cut ${zone}`, act: system.cutZone(zone) },
    { atMs: untilMs, name: `mend ${zone}`, act: system.mendZone(zone) },
  ]
}

function silence(system: BenchSystem, zone: string, atMs: number): BenchEvent {
  return { atMs, name: `silence links of ${zone}`, act: system.silenceZone(zone) }
}
