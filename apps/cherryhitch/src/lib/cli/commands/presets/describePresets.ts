import type { PresetRow, SettingsRow } from '../../http/operatorViews'
import { formatTable } from '../../output/formatTable'

/** @internal */
export function describeSettings({ preset, version, current }: SettingsRow): string {
  const standing = current ? 'confirmed by the quorum' : 'newest known here, not confirmed'
  return `${preset}  version ${version}  (${standing})`
}

/** @internal */
export function presetTable(settings: SettingsRow): string {
  const rows = settings.presets.map(({ name, description }) => [
    name === settings.preset ? '*' : '',
    name,
    description,
  ])
  const table = formatTable(['', 'PRESET', 'WHEN TO CHOOSE IT'], rows)
  return `${table}\n\nin force: ${describeSettings(settings)}`
}

/** All members of one definition, a line each. @internal */
export function describePreset(preset: PresetRow): string {
  const rows = Object.entries(preset).map(([name, value]) => [name, String(value)])
  return formatTable(['SETTING', 'VALUE'], rows)
}
