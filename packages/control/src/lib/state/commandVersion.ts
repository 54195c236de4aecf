import type { Command, ControlSnapshot } from '@cherryhitch/protocol'

/**
 * Version of commands and snapshots that contain no drained zones. Builds that know no other
 * version do not report any.
 *
 * @internal
 */
export const BASE_VERSION = 1
/** Version that introduced the drains of availability zones. */
const ZONE_DRAIN_VERSION = 2

/**
 * Newest version of commands and snapshots that this build applies. Voters report it to the leader,
 * and stored records carry the version that they need, so that an earlier build refuses what it
 * does not know instead of skipping it.
 *
 * @internal
 */
export const COMMAND_VERSION = ZONE_DRAIN_VERSION

/** Version that a voter's build must know to apply a command. @internal */
export function versionOfCommand(command: Command | undefined): number {
  return command?.change.case === 'setZoneDrain' ? ZONE_DRAIN_VERSION : BASE_VERSION
}

/** Version that a voter's build must know to restore a snapshot. @internal */
export function versionOfSnapshot({ settings }: ControlSnapshot): number {
  const hasZoneDrains = (settings?.zoneDrains.length ?? 0) > 0
  return hasZoneDrains ? ZONE_DRAIN_VERSION : BASE_VERSION
}
