import { EndpointGroupSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, EndpointNotice } from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import type { EndpointRecord } from '../endpoints/EndpointRecord'

/**
 * Endpoints that fall silent within this of each other may have been lost at once, in milliseconds: the
 * wait of a question, since the loss shows only when it is over.
 */
const TOGETHER_MS = 300

/** What an endpoint shares with others: its service, its zone and its labels, of which one may name a rack. */
function groupNames({ service, zone, labels }: EndpointNotice): readonly string[] {
  const names = [`service ${service}`, `zone ${service} ${zone}`]
  return [...names, ...labels.map((label) => `label ${service} ${label}`)]
}

/** The groups of a lost endpoint, and how many of each fell silent with it. @internal */
export function groupsOf(lost: EndpointRecord, all: Iterable<EndpointRecord>): EndpointGroup[] {
  const groups = new Map(
    groupNames(lost.notice).map((name) => [
      name,
      create(EndpointGroupSchema, { name, size: 0, silent: 0 }),
    ]),
  )
  for (const other of all) {
    const isSilent = other.unanswered > 0 || other.isReplaced
    const isTogether = isSilent && Math.abs(other.silentAt - lost.silentAt) <= TOGETHER_MS
    for (const name of groupNames(other.notice)) {
      const group = groups.get(name)
      if (group === undefined) continue
      group.size++
      if (isTogether) group.silent++
    }
  }
  return [...groups.values()]
}
