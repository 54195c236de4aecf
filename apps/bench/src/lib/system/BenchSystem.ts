import { execFileSync } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import type { Deployment, EndpointLedger, PlacedEndpoint } from '@cherryhitch/stand-ins'
import { placeEndpoints, totalSlots } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ChildProcess } from '../processes/ChildProcess'
import { startChild } from '../processes/ChildProcess'
import type {
  EndpointCommand,
  EndpointFault,
  EndpointReply,
  LinkCommand,
  LinkReply,
} from '../processes/commands'
import { EndpointCommandKind, LinkCommandKind } from '../processes/commands'
import type { BenchPrograms } from './buildPrograms'
import { Daemon } from './Daemon'
import { OperatorClient } from './OperatorClient'
import type { InstancePlace } from './Topology'
import { crossZonePairs, linkName, placeSystem } from './Topology'
import { writeSettings } from './writeSettings'

const HOST = '127.0.0.1'
const CLUSTER = 'bench'
const POLL_MS = 50
const READY_LIMIT_MS = 30_000

type EndpointChild = ChildProcess<EndpointCommand, EndpointReply>
type LinkChild = ChildProcess<LinkCommand, LinkReply>

interface BenchContent {
  readonly deployment: Deployment
  readonly places: readonly InstancePlace[]
  readonly daemons: readonly Daemon[]
  readonly endpoints: readonly PlacedEndpoint[]
  /** One process for the endpoints of each zone. */
  readonly endpointChildren: ReadonlyMap<string, EndpointChild>
  readonly links: LinkChild
  readonly folder: string
}

/** A whole deployment on this machine: daemons, stand-in endpoints, and the network between zones. */
export class BenchSystem {
  constructor(private readonly content: BenchContent) {}

  get deployment(): Deployment {
    return this.content.deployment
  }

  get daemons(): readonly Daemon[] {
    return this.content.daemons
  }

  get endpoints(): readonly PlacedEndpoint[] {
    return this.content.endpoints
  }

  /** Folder with settings, data and logs of this run. */
  get folder(): string {
    return this.content.folder
  }

  get callerAddresses(): readonly string[] {
    return this.content.places.map(({ callers }) => `${HOST}:${callers}`)
  }

  operator(daemon: Daemon): OperatorClient {
    return new OperatorClient(daemon.place.operators)
  }

  fault(endpoint: PlacedEndpoint, fault: EndpointFault): Effect.Effect<void> {
    const child = this.content.endpointChildren.get(endpoint.zone)
    if (child === undefined) return Effect.void
    const { endpoint: name } = endpoint
    return Effect.asVoid(child.ask({ kind: EndpointCommandKind.Fault, endpoint: name, fault }))
  }

  /** Cuts a zone off from all others: bytes vanish in both directions. */
  cutZone(zone: string): Effect.Effect<void> {
    return this.tellLinks(LinkCommandKind.Cut, zone)
  }

  mendZone(zone: string): Effect.Effect<void> {
    return this.tellLinks(LinkCommandKind.Heal, zone)
  }

  /** Lets the open connections of a zone's links fall silent; new ones work. */
  silenceZone(zone: string): Effect.Effect<void> {
    return this.tellLinks(LinkCommandKind.Silence, zone)
  }

  /** Adds what the endpoints saw to a ledger. */
  collect(ledger: EndpointLedger): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (const child of this.content.endpointChildren.values()) {
        const { ledger: data } = yield* child.ask({ kind: EndpointCommandKind.Collect })
        if (data !== undefined) ledger.absorb(data)
      }
    })
  }

  /** Waits until all instances are ready and know every slot. */
  awaitReady(): Effect.Effect<void> {
    const slots = totalSlots(this.deployment)
    const isSettled = async (daemon: Daemon): Promise<boolean> => {
      const operator = this.operator(daemon)
      return (await operator.isReady()) && (await operator.knownSlots()) === slots
    }
    const wait = Effect.gen({ self: this }, function* () {
      for (const daemon of this.daemons) {
        while (!(yield* Effect.promise(() => isSettled(daemon).catch(() => false)))) {
          yield* Effect.sleep(POLL_MS)
        }
      }
    })
    return Effect.timeoutOrElse(wait, {
      duration: READY_LIMIT_MS,
      orElse: () => Effect.promise(() => this.explainUnready()),
    })
  }

  /** Says what is missing; always fails. */
  private async explainUnready(): Promise<never> {
    const states = await Promise.all(
      this.daemons.map(async (daemon) => {
        const operator = this.operator(daemon)
        const ready = await operator.isReady()
        const slots = await operator.knownSlots().catch(() => Number.NaN)
        return `${daemon.place.instance}: ready ${String(ready)}, ${slots} slots known`
      }),
    )
    throw new Error(`the system did not get ready; ${states.join('; ')}; see ${this.folder}`)
  }

  private tellLinks(
    kind: LinkCommandKind.Cut | LinkCommandKind.Heal | LinkCommandKind.Silence,
    zone: string,
  ): Effect.Effect<void> {
    const names = crossZonePairs(this.content.places)
      .filter(([from, to]) => from.zone === zone || to.zone === zone)
      .map(([from, to]) => linkName(from, to))
    return Effect.asVoid(this.content.links.ask({ kind, names }))
  }
}

/** Starts a deployment; all its processes end with the scope. */
export function startBenchSystem(
  deployment: Deployment,
  programs: BenchPrograms,
  seed: number,
): Effect.Effect<BenchSystem, never, Scope.Scope> {
  return Effect.gen(function* () {
    const folder = yield* openFolder()
    const places = yield* Effect.promise(() => placeSystem(deployment))
    const links = yield* startLinks(programs, deployment, places, seed)
    const daemons = yield* startDaemons(folder, programs, places, links.addresses)
    const endpoints = placeEndpoints(deployment)
    const endpointChildren = yield* startEndpoints(programs, deployment, places, seed)
    const content = { deployment, places, daemons, endpoints, endpointChildren, folder }
    const system = new BenchSystem({ ...content, links: links.child })
    yield* system.awaitReady()
    return system
  })
}

function openFolder(): Effect.Effect<string, never, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.sync(() => fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-bench-'))),
    (folder) =>
      Effect.sync(() => {
        // Logs are kept on request, to look into what a run found.
        if (process.env.CHERRYHITCH_BENCH_KEEP === undefined) {
          fs.rmSync(folder, { recursive: true, force: true })
        }
      }),
  )
}

function startLinks(
  programs: BenchPrograms,
  deployment: Deployment,
  places: readonly InstancePlace[],
  seed: number,
): Effect.Effect<
  { readonly child: LinkChild; readonly addresses: Readonly<Record<string, string>> },
  never,
  Scope.Scope
> {
  return Effect.gen(function* () {
    const child = yield* startChild<LinkCommand, LinkReply>(programs.links)
    const links = crossZonePairs(places).map(([from, to]) => ({
      name: linkName(from, to),
      target: `${HOST}:${to.instances}`,
      delayMs: deployment.zoneDelayMs,
    }))
    const { addresses = {} } = yield* child.ask({ kind: LinkCommandKind.Start, links, seed })
    return { child, addresses }
  })
}

function startDaemons(
  folder: string,
  programs: BenchPrograms,
  places: readonly InstancePlace[],
  addresses: Readonly<Record<string, string>>,
): Effect.Effect<readonly Daemon[], never, Scope.Scope> {
  const start = Effect.sync(() =>
    places.map((place) => {
      const settings = writeSettings(folder, place, places, addresses)
      if (place.voter) initVoter(programs.cherryhitch, settings)
      const log = path.join(folder, `${place.instance}.log`)
      const daemon = new Daemon(place, programs.cherryhitch, settings, log)
      daemon.start()
      return daemon
    }),
  )
  return Effect.acquireRelease(start, (daemons) =>
    Effect.promise(async () => {
      for (const daemon of daemons) daemon.thaw()
      await Promise.all(daemons.map((daemon) => daemon.crash()))
    }),
  )
}

function initVoter(program: string, settings: string): void {
  const args = [program, 'control', 'init', '--settings', settings, '--cluster', CLUSTER]
  execFileSync(process.execPath, args, { stdio: ['ignore', 'ignore', 'inherit'] })
}

function startEndpoints(
  programs: BenchPrograms,
  deployment: Deployment,
  places: readonly InstancePlace[],
  seed: number,
): Effect.Effect<ReadonlyMap<string, EndpointChild>, never, Scope.Scope> {
  return Effect.gen(function* () {
    const children = new Map<string, EndpointChild>()
    for (const zone of deployment.zones) {
      const child = yield* startChild<EndpointCommand, EndpointReply>(programs.endpoints)
      const instances = places
        .filter((place) => place.zone === zone)
        .map(({ endpoints }) => `${HOST}:${endpoints}`)
      const zoneEndpoints = placeEndpoints(deployment).filter((place) => place.zone === zone)
      const start = {
        kind: EndpointCommandKind.Start as const,
        deployment,
        places: zoneEndpoints.map((place) => ({ ...place, instances })),
        seed,
      }
      yield* child.ask(start)
      children.set(zone, child)
    }
    return children
  })
}
