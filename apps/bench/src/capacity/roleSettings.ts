/** Settings of entries and dispatching instances that run on one machine, each at an address of its own. */
import fs from 'node:fs'
import path from 'node:path'

/** What a process of the platform's deployment does. */
export enum Role {
  Entry = 'entry',
  Dispatch = 'dispatch',
}

export const METRICS_PORT = 27_721
export const CONTROL_PORT = 27_722
export const CALLERS_PORT = 27_723
const LINK_PORT = 27_720
const READINESS_PORT = 27_724

export interface RoleProcess {
  readonly role: Role
  /** Its own IP address. */
  readonly host: string
  /** Addresses of dispatching instances. */
  readonly seeds: readonly string[]
  /** For its settings and its data. */
  readonly folder: string
}

/** Writes the settings of a process; answers with the file. */
export function writeRoleSettings(process: RoleProcess): string {
  const { host, folder } = process
  const file = path.join(folder, `${host}.jsonc`)
  fs.writeFileSync(file, JSON.stringify(settingsOf(process)))
  return file
}

function settingsOf({ role, host, seeds, folder }: RoleProcess): object {
  const common = {
    name: `${role}-${host}`,
    host,
    zone: 'z1',
    linkPort: LINK_PORT,
    metricsPort: METRICS_PORT,
    seeds: seeds.map((seed) => `${seed}:${CONTROL_PORT}`),
    firstStart: true,
    heartbeatMs: 1_500,
    maxLeaseMs: 1_000,
    stopGraceMs: 6_000,
  }
  if (role === Role.Dispatch) {
    const dataFolder = path.join(folder, `data-${host}`)
    fs.mkdirSync(dataFolder)
    return { ...common, dataFolder, control: `${host}:${CONTROL_PORT}` }
  }
  return { ...common, callers: `${host}:${CALLERS_PORT}`, readiness: `${host}:${READINESS_PORT}` }
}
