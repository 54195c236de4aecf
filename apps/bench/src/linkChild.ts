/** The process that stands for the network between zones, steered by the bench. */
import { exhaustive } from '@cherryhitch/model'
import type { FaultyLink } from '@cherryhitch/stand-ins'
import { CutKind, LinkScope, startFaultyLink } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { answerCommands } from './lib/processes/answerCommands'
import type { LinkCommand, LinkReply } from './lib/processes/commands'
import { LinkCommandKind } from './lib/processes/commands'

const links = new Map<string, FaultyLink>()

function startAll(
  command: Extract<LinkCommand, { kind: LinkCommandKind.Start }>,
): Effect.Effect<LinkReply, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const addresses: Record<string, string> = {}
    for (const [index, { name, target, delayMs }] of command.links.entries()) {
      const link = yield* startFaultyLink({ target, delayMs, seed: command.seed + index })
      links.set(name, link)
      addresses[name] = link.address
    }
    return { addresses }
  })
}

function forEachLink(
  names: readonly string[],
  act: (link: FaultyLink) => Effect.Effect<void, unknown>,
): Effect.Effect<LinkReply, unknown> {
  return Effect.gen(function* () {
    for (const name of names) {
      const link = links.get(name)
      if (link !== undefined) yield* act(link)
    }
    return {}
  })
}

answerCommands<LinkCommand, LinkReply>((command) => {
  switch (command.kind) {
    case LinkCommandKind.Start:
      return startAll(command)
    case LinkCommandKind.Cut:
      // A partition sends no reset: bytes just vanish, on open connections and on new ones.
      return forEachLink(command.names, (link) =>
        Effect.sync(() => {
          link.silence(LinkScope.All)
        }),
      )
    case LinkCommandKind.Heal:
      return forEachLink(command.names, (link) => {
        link.cut(CutKind.Reset)
        return link.heal()
      })
    case LinkCommandKind.Silence:
      return forEachLink(command.names, (link) =>
        Effect.sync(() => {
          link.silence(LinkScope.Open)
        }),
      )
    default:
      return exhaustive(command)
  }
})
