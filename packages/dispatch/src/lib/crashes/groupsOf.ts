import { EndpointGroupSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, EndpointNotice } from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import type { EndpointRecord } from '../endpoints/EndpointRecord'

/**
 * Endpoints that fall silent within this of each other may have been lost at once, in milliseconds: the
 * wait of a question, since the loss shows only when it is over.
 */
const TOGETHER_MS = 300

/** Endpoints of a group, and their share of it, that aren't lost at once by tasks of their own. */
const LEAST_SHARED = 4
const SHARED_SHARE = 0.1

/** What an endpoint shares with others: its service, its zone and its labels, of which one may name a rack. */
function groupNames({ service, zone, labels }: EndpointNotice): readonly string[] {
  const names = [`service ${service}`, `zone ${service} ${zone}`]
  return [...names, ...labels.map((label) => `label ${service} ${label}`)]
}

/** The groups of a lost endpoint, and how many of each fell silent with it. @internal */
export function groupsOf(lost: EndpointRecord, all: Iterable<EndpointRecord>): EndpointGroup[] {
  return countGroups(lost, all, (other) => {
    const isSilent = other.unanswered > 0 || other.isReplaced
    return isSilent && Math.abs(other.silentAt - lost.silentAt) <= TOGETHER_MS
  })
}

/** Whether each of several lost endpoints shares something with many others of them. @internal */
export function areLostTogether(
  lost: readonly EndpointRecord[],
  all: readonly EndpointRecord[],
): boolean {
  return lost.every((one) => isShared(countGroups(one, all, (other) => lost.includes(other))))
}

/** Whether so many endpoints of a group were lost at once that no task of one was the cause. @internal */
export function isShared(groups: readonly EndpointGroup[]): boolean {
  return groups.some(({ size, silent }) => {
    return silent >= LEAST_SHARED && silent >= SHARED_SHARE * size
  })
}

function countGroups(
  lost: EndpointRecord,
  all: Iterable<EndpointRecord>,
  isTogether: (other: EndpointRecord) => boolean,
): EndpointGroup[] {
  const groups = new Map(
    groupNames(lost.notice).map((name) => [
      name,
      create(EndpointGroupSchema, { name, size: 0, silent: 0 }),
    ]),
  )
  for (const other of all) {
    const isCounted = isTogether(other)
    for (const name of groupNames(other.notice)) {
      const group = groups.get(name)
      if (group === undefined) continue
      group.size++
      if (isCounted) group.silent++
    }
  }
  return [...groups.values()]
}
