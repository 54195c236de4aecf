import { EndpointGroupSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, EndpointNotice } from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { lossWindow, maxConcurrentLosses } from './LossWindow'
import type { LossWindow } from './LossWindow'

/**
 * Minimum number of endpoints of a group, and minimum fraction of the group, that have to be lost
 * at once to rule out that each of them was crashed by a task of its own.
 */
const MIN_SHARED_LOSSES = 4
const MIN_SHARED_FRACTION = 0.1
/** Like `MIN_SHARED_LOSSES`, for a group of which no endpoint is left. */
const MIN_WHOLE_GROUP_LOSSES = 2

/** Cached, since each loss needs the names for all endpoints, and many are lost at once. */
const groupNamesCache = new WeakMap<EndpointNotice, readonly string[]>()

/**
 * Names of the groups (possible failure domains) of an endpoint: its service, its availability zone
 * and its labels, one of which may name a rack.
 */
function groupNames(notice: EndpointNotice): readonly string[] {
  const known = groupNamesCache.get(notice)
  if (known !== undefined) return known
  const { service, zone, labels } = notice
  const ofLabels = labels.map((label) => `label ${service} ${label}`)
  const names = [`service ${service}`, `zone ${service} ${zone}`, ...ofLabels]
  groupNamesCache.set(notice, names)
  return names
}

/**
 * Returns the groups of a lost endpoint, and how many of each may have been lost at the same
 * moment.
 *
 * @internal
 */
export function groupsOf(lost: EndpointRecord, all: Iterable<EndpointRecord>): EndpointGroup[] {
  const window = lossWindow(lost) ?? { after: Infinity, until: Infinity }
  return membersOf(lost, all).map(([name, members]) => {
    const windows = members.flatMap((member) => lossWindow(member) ?? [])
    const silent = maxConcurrentLosses(window, windows)
    const present = members.filter((member) => wasPresent(member, window))
    return create(EndpointGroupSchema, { name, size: present.length, silent })
  })
}

/** Whether an endpoint was present when another one was lost, as far as this leader knows. */
function wasPresent(endpoint: EndpointRecord, { after, until }: LossWindow): boolean {
  return endpoint.syncedAt <= until && (lossWindow(endpoint)?.until ?? Infinity) > after
}

/**
 * Returns the groups of endpoints that count as lost together, with the number lost in each group.
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
  return new Map(lost.map((record) => [record, groupNames(record.notice).map(groupOf)]))
}

/**
 * Whether so many endpoints of one group were lost at once that a task on one of them can't be the
 * cause.
 *
 * @internal
 */
export function isShared(groups: readonly EndpointGroup[]): boolean {
  return groups.some(({ size, silent }) => {
    const isWhole = silent >= MIN_WHOLE_GROUP_LOSSES && silent >= size
    return isWhole || (silent >= MIN_SHARED_LOSSES && silent >= MIN_SHARED_FRACTION * size)
  })
}

/** Returns the groups of an endpoint by name, with their members, itself included. */
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
