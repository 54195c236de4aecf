import { EndpointGroupSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, EndpointNotice } from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { lossSpan, mostTogether } from './LossSpan'
import type { LossSpan } from './LossSpan'

/** Endpoints of a group, and their share of it, that aren't lost at once by tasks of their own. */
const LEAST_SHARED = 4
const SHARED_SHARE = 0.1
/** The same of a group of which none is left. */
const LEAST_WHOLE = 2

/** Asked for all endpoints at each loss, and many are lost at once. */
const knownNames = new WeakMap<EndpointNotice, readonly string[]>()

/** What an endpoint shares with others: its service, its zone and its labels, of which one may name a rack. */
function groupNames(notice: EndpointNotice): readonly string[] {
  const known = knownNames.get(notice)
  if (known !== undefined) return known
  const { service, zone, labels } = notice
  const ofLabels = labels.map((label) => `label ${service} ${label}`)
  const names = [`service ${service}`, `zone ${service} ${zone}`, ...ofLabels]
  knownNames.set(notice, names)
  return names
}

/**
 * The groups of a lost endpoint, and how many of each may have been lost at the same moment.
 *
 * @internal
 */
export function groupsOf(lost: EndpointRecord, all: Iterable<EndpointRecord>): EndpointGroup[] {
  const span = lossSpan(lost) ?? { after: Infinity, until: Infinity }
  return membersOf(lost, all).map(([name, members]) => {
    const spans = members.flatMap((member) => lossSpan(member) ?? [])
    const silent = mostTogether(span, spans)
    const present = members.filter((member) => wasPresent(member, span))
    return create(EndpointGroupSchema, { name, size: present.length, silent })
  })
}

/** Whether an endpoint was there when another one was lost, as far as this leader knows. */
function wasPresent(endpoint: EndpointRecord, { after, until }: LossSpan): boolean {
  return endpoint.adoptedAt <= until && (lossSpan(endpoint)?.until ?? Infinity) > after
}

/**
 * The groups of endpoints that were all lost together, and how many of each these are.
 *
 * @internal
 */
export function groupsAmong(
  lost: readonly EndpointRecord[],
  all: Iterable<EndpointRecord>,
): ReadonlyMap<EndpointRecord, EndpointGroup[]> {
  const groups = new Map<string, EndpointGroup>()
  const groupOf = (name: string): EndpointGroup => {
    const known = groups.get(name)
    if (known !== undefined) return known
    const group = create(EndpointGroupSchema, { name })
    groups.set(name, group)
    return group
  }
  for (const { notice } of all) for (const name of groupNames(notice)) groupOf(name).size++
  for (const { notice } of lost) for (const name of groupNames(notice)) groupOf(name).silent++
  return new Map(lost.map((one) => [one, groupNames(one.notice).map(groupOf)]))
}

/** Whether so many endpoints of a group were lost at once that no task of one was the cause. @internal */
export function isShared(groups: readonly EndpointGroup[]): boolean {
  return groups.some(({ size, silent }) => {
    const isWhole = silent >= LEAST_WHOLE && silent >= size
    return isWhole || (silent >= LEAST_SHARED && silent >= SHARED_SHARE * size)
  })
}

/** The groups of an endpoint by their names, itself included. */
function membersOf(
  { notice }: EndpointRecord,
  all: Iterable<EndpointRecord>,
): (readonly [name: string, members: readonly EndpointRecord[]])[] {
  const groups = new Map(groupNames(notice).map((name) => [name, [] as EndpointRecord[]]))
  for (const other of all) {
    for (const name of groupNames(other.notice)) groups.get(name)?.push(other)
  }
  return [...groups]
}
