import { exhaustive } from '@cherryhitch/model'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ListenError } from '../util/ListenError'
import type { FaultyLink } from './FaultyLink'
import { CutKind, LinkScope, startFaultyLink } from './FaultyLink'

/** Something that connects to others. @public */
export interface MeshSource {
  readonly name: string
  readonly zone: string
}

/** Something that others connect to. @public */
export interface MeshTarget extends MeshSource {
  /** Host and port of its own server. */
  readonly address: string
}

/** @public */
export interface LinkMeshOptions {
  readonly sources: readonly MeshSource[]
  readonly targets: readonly MeshTarget[]
  /** Milliseconds one way between two availability zones. */
  readonly zoneDelayMs: number
  /** Milliseconds one way within an availability zone. */
  readonly localDelayMs: number
  readonly seed: number
}

/** @public */
export const defaultLinkMeshOptions: Omit<LinkMeshOptions, 'sources' | 'targets'> = {
  zoneDelayMs: 0,
  localDelayMs: 0,
  seed: 1,
}

/** What a partition does to the links that cross it. @public */
export enum PartitionKind {
  /** Nothing passes and nothing is closed. */
  Silent = 'silent',
  /** Connections are reset and new ones refused. */
  Refused = 'refused',
  /** Nothing passes until the mesh heals; then what was sent arrives late. */
  Stalled = 'stalled',
}

interface MeshLink {
  readonly source: MeshSource
  readonly target: MeshTarget
  readonly link: FaultyLink
}

/** A link from every source to every target, with the distances of a deployment. @public */
export class LinkMesh {
  /** @internal */
  constructor(private readonly links: readonly MeshLink[]) {}

  /** Where a source reaches a target; the target's own address when no link leads there. */
  addressFor(sourceName: string, target: MeshTarget): string {
    return this.via(sourceName)(target.address)
  }

  /** Turns a target's own address into the one by which a source reaches it. */
  via(sourceName: string): (address: string) => string {
    const known = new Map(
      this.links
        .filter(({ source }) => source.name === sourceName)
        .map(({ target, link }) => [target.address, link.address]),
    )
    return (address) => known.get(address) ?? address
  }

  /** Parts those that `isApart` picks from the rest, both ways, until the mesh heals. */
  partition(isApart: (node: MeshSource) => boolean, kind: PartitionKind): void {
    for (const { source, target, link } of this.links) {
      if (isApart(source) !== isApart(target)) partLink(link, kind)
    }
  }

  /** Silences a share of the open connections for good; returns how many. */
  silenceSome(share: number): number {
    return this.links.reduce((sum, { link }) => sum + link.silenceSome(share), 0)
  }

  heal(): Effect.Effect<void, ListenError> {
    return Effect.all(
      this.links.map(({ link }) => link.heal()),
      { discard: true },
    )
  }
}

function partLink(link: FaultyLink, kind: PartitionKind): void {
  switch (kind) {
    case PartitionKind.Silent:
      link.silence(LinkScope.All)
      return
    case PartitionKind.Refused:
      link.cut(CutKind.Refuse)
      return
    case PartitionKind.Stalled:
      link.stall()
      return
    default:
      exhaustive(kind)
  }
}

/**
 * Starts the links of a mesh; they end with the scope. Nothing has a link to itself.
 *
 * @public
 */
export function startLinkMesh(
  input: Partial<LinkMeshOptions> & Pick<LinkMeshOptions, 'sources' | 'targets'>,
): Effect.Effect<LinkMesh, ListenError, Scope.Scope> {
  const options: LinkMeshOptions = { ...defaultLinkMeshOptions, ...input }
  const pairs = options.sources.flatMap((source) =>
    options.targets
      .filter((target) => target.name !== source.name)
      .map((target) => ({ source, target })),
  )
  return Effect.gen(function* () {
    const links: MeshLink[] = []
    for (const { source, target } of pairs) {
      const delayMs = source.zone === target.zone ? options.localDelayMs : options.zoneDelayMs
      const seed = options.seed + links.length
      const link = yield* startFaultyLink({ target: target.address, delayMs, seed })
      links.push({ source, target, link })
    }
    return new LinkMesh(links)
  })
}
