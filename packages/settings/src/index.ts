/**
 * Settings files in JSON with comments, checked against a schema.
 *
 * @packageDocumentation
 */
export { renderSettingsPage } from './lib/page/renderSettingsPage'
export { loadSettings } from './lib/parse/loadSettings'
export { parseSettings } from './lib/parse/parseSettings'
export { formatSettingsProblem } from './lib/problems/SettingsProblem'
export type { SettingsProblem } from './lib/problems/SettingsProblem'
export { defaultLimitSettings } from './lib/schema/limits'
export type { LimitSettings } from './lib/schema/limits'
export type {
  InterfaceSettings,
  PeerSettings,
  Settings,
  TlsSettings,
  TokenSettings,
} from './lib/schema/Settings'
export { DEFAULT_LOG_LEVEL, LogLevel } from './lib/schema/settingsSchema'
export { defaultTimingSettings } from './lib/schema/timing'
export type { TimingSettings } from './lib/schema/timing'
export { loadTokens } from './lib/tokens/loadTokens'
export type { Tokens } from './lib/tokens/loadTokens'
export {
  DispatchRole,
  loadDispatchSettings,
  parseDispatchSettings,
} from './lib/dispatching/dispatchSettings'
export type { DispatchSettings } from './lib/dispatching/dispatchSettings'
