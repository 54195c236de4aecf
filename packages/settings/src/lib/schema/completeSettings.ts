import path from 'node:path'
import { defaultLimitSettings } from './limits'
import type { InterfaceSettings, Settings, TokenSettings } from './Settings'
import { DEFAULT_LOG_LEVEL } from './settingsSchema'
import type { SettingsFile } from './settingsSchema'
import { defaultTimingSettings } from './timing'

const DEFAULT_WEIGHT = 1

/** Fills in defaults and resolves paths against the folder of the settings file. @internal */
export function completeSettings(file: SettingsFile, folder: string): Settings {
  const resolve = (relative: string) => path.resolve(folder, relative)
  const { interfaces, dataFolder, tokens, log = {}, traces = {} } = file
  return {
    instance: file.instance,
    zone: file.zone,
    interfaces: {
      callers: completeInterface(interfaces.callers, resolve),
      endpoints: completeInterface(interfaces.endpoints, resolve),
      operators: completeInterface(interfaces.operators, resolve),
      instances: interfaces.instances,
    },
    peers: file.peers.map((peer) => ({ ...peer, voter: peer.voter ?? false })),
    voter: file.voter,
    ...(dataFolder === undefined ? {} : { dataFolder: resolve(dataFolder) }),
    ...(tokens === undefined ? {} : { tokens: completeTokens(tokens, resolve) }),
    limits: { ...defaultLimitSettings, ...file.limits },
    timing: { ...defaultTimingSettings, ...file.timing },
    log: {
      level: log.level ?? DEFAULT_LOG_LEVEL,
      ...(log.file === undefined ? {} : { file: resolve(log.file) }),
    },
    traces: {
      ...traces,
      ...(traces.file === undefined ? {} : { file: resolve(traces.file) }),
    },
  }
}

function completeInterface(
  { host, port, tls }: SettingsFile['interfaces']['callers'],
  resolve: (relative: string) => string,
): InterfaceSettings {
  if (tls === undefined) return { host, port }
  return { host, port, tls: { keyFile: resolve(tls.keyFile), certFile: resolve(tls.certFile) } }
}

function completeTokens(
  tokens: NonNullable<SettingsFile['tokens']>,
  resolve: (relative: string) => string,
): TokenSettings {
  return {
    callers: tokens.callers.map(({ caller, file, weight = DEFAULT_WEIGHT }) => ({
      caller,
      file: resolve(file),
      weight,
    })),
    endpoints: resolve(tokens.endpoints),
    operators: tokens.operators.map(({ operator, file }) => ({ operator, file: resolve(file) })),
    instances: resolve(tokens.instances),
  }
}
