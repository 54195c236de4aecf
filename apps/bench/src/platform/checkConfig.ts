/** The rule CONFIG of the platform, on what operators and callers saw in a run. */
import { isDeepStrictEqual } from 'node:util'
import type { CallerRequest } from './CallerTraffic'
import { Handling } from './CallerTraffic'
import type { ConfigRead } from './OperatorTraffic'
import type { RunRecord } from './RunRecord'
import type { ForbiddenConfig, SentConfig } from './SentConfig'
import { newestAcked } from './SentConfig'

/** Time by which an acknowledged configuration is in force everywhere, in milliseconds. */
export const CONFIG_APPLY_MS = 2_000
export const CONTACT_MS = 3_000
const ROLLBACK_SLACK_MS = 250
/** The slack of a machine that was slowed, as a multiple. */
const SLOWED_FACTOR = 8

/** Name of the spans in which processes waited for a processor, as slowed machines do. */
export const STARVED = 'starved'
/** Name of the spans in which the dispatching instances, or what joins them, were disturbed. */
export const CORE = 'core'

export interface SeenConfigs {
  readonly sent: ReadonlyMap<number, SentConfig>
  readonly forbidden: readonly ForbiddenConfig[]
  readonly record: RunRecord
}

interface Findings {
  readonly violations: readonly string[]
  /** What a machine did that wasn't in touch, where the rule has no bound. */
  readonly notes: readonly string[]
}

/** A request is handled as only an older version than the one acknowledged in time allows. */
export function checkStaleRequests(
  requests: readonly CallerRequest[],
  { sent, record }: SeenConfigs,
): Findings {
  const violations: string[] = []
  const notes: string[] = []
  for (const request of requests) {
    const { entry, sentAtMs, endedAtMs } = request
    const dueVersion = newestAcked(sent.values(), sentAtMs - CONFIG_APPLY_MS)
    const versions = allowingVersions(request, sent)
    if (versions === undefined || versions.some((version) => version >= dueVersion)) continue
    const text = `${describe(request)}, as only versions up to ${versions.at(-1) ?? 0} allow, ${dueVersion} was due`
    const fromMs = sentAtMs - CONFIG_APPLY_MS - CONTACT_MS
    const isInTouch = record.isCalm([entry, CORE, STARVED], fromMs, endedAtMs)
    if (isInTouch) violations.push(text)
    else notes.push(text)
  }
  return { violations, notes }
}

/** A process goes back behind a version whose effect was seen through it. */
export function checkRegress(
  requests: readonly CallerRequest[],
  { sent, record }: SeenConfigs,
): readonly string[] {
  const byProcess = groupByProcess(requests)
  return [...byProcess.values()].flatMap((own) => {
    const effects = own.flatMap((request) => {
      if (request.handling !== Handling.Run) return []
      const [oldest] = allowingVersions(request, sent) ?? []
      return oldest === undefined ? [] : [{ atMs: request.endedAtMs, version: oldest }]
    })
    return own.flatMap((request) => {
      const { entry, sentAtMs, endedAtMs } = request
      const versions = allowingVersions(request, sent)
      if (versions === undefined) return []
      const isSlowed = !record.isCalm([entry, STARVED], sentAtMs - CONTACT_MS, endedAtMs)
      const slackMs = ROLLBACK_SLACK_MS * (isSlowed ? SLOWED_FACTOR : 1)
      const seen = effects.filter(({ atMs }) => atMs + slackMs < sentAtMs)
      const newest = Math.max(0, ...seen.map(({ version }) => version))
      if (versions.some((version) => version >= newest)) return []
      return [`${describe(request)}, after the effect of ${newest} was seen there`]
    })
  })
}

/** A read answers an older version than the one acknowledged in time; at any node. */
export function checkOldReads(
  reads: readonly ConfigRead[],
  { sent }: SeenConfigs,
): readonly string[] {
  return reads.flatMap(({ node, sentAtMs, version }) => {
    const dueVersion = newestAcked(sent.values(), sentAtMs - CONFIG_APPLY_MS)
    if (version >= dueVersion) return []
    return [`read of ${at(sentAtMs)} at ${node}: ${version}, ${dueVersion} was due`]
  })
}

/** A read answers other content than what was sent under its number. */
export function checkReadContent(
  reads: readonly ConfigRead[],
  { sent }: SeenConfigs,
): readonly string[] {
  return reads.flatMap(({ node, sentAtMs, version, body }) => {
    const config = sent.get(version)
    if (config !== undefined && isSameContent(config.body, body)) return []
    return [`read of ${at(sentAtMs)} at ${node}: not what was sent as ${version}: ${body}`]
  })
}

/** What was refused or is invalid has an effect. */
export function checkForbidden(
  requests: readonly CallerRequest[],
  { forbidden }: SeenConfigs,
): readonly string[] {
  const prefixes = new Set(forbidden.map(({ prefix }) => prefix))
  return requests
    .filter(({ prefix }) => prefixes.has(prefix))
    .filter(({ handling }) => handling === Handling.Run || handling === Handling.Known)
    .map((request) => `${describe(request)}, which no valid configuration allows`)
}

/** Versions, from the oldest, that allow how a request was handled; undefined if any does. */
function allowingVersions(
  { prefix, handling, service, endedAtMs }: CallerRequest,
  sent: ReadonlyMap<number, SentConfig>,
): readonly number[] | undefined {
  if (handling === Handling.Other) return undefined
  return [...sent.values()]
    .filter(({ sentAtMs }) => sentAtMs <= endedAtMs)
    .filter(({ routes }) => {
      const owner = routes.get(prefix)
      if (handling === Handling.NoRoute) return owner === undefined
      return handling === Handling.Run ? owner === service : owner !== undefined
    })
    .map(({ version }) => version)
    .sort((a, b) => a - b)
}

function groupByProcess(
  requests: readonly CallerRequest[],
): ReadonlyMap<string, readonly CallerRequest[]> {
  const groups = new Map<string, CallerRequest[]>()
  for (const request of requests) {
    const key = `${request.entry} ${request.incarnation}`
    groups.set(key, [...(groups.get(key) ?? []), request])
  }
  return groups
}

function isSameContent(sent: string, read: string): boolean {
  try {
    return isDeepStrictEqual(JSON.parse(sent), JSON.parse(read))
  } catch {
    return false
  }
}

function describe({ entry, prefix, sentAtMs, endedAtMs, status, service }: CallerRequest): string {
  const end = `${status}${service === undefined ? '' : ` by ${service}`}`
  return `${prefix} at ${entry}, ${at(sentAtMs)} to ${at(endedAtMs)}: ${end}`
}

function at(ms: number): string {
  return `${(ms / 1000).toFixed(3)} s`
}
