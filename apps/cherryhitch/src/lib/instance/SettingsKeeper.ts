import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import { OwnerEventKind } from '@cherryhitch/owner'
import type { PresetDefinition, SettingsState } from '@cherryhitch/protocol'
import type { InstanceParts } from './InstanceParts'

/** The preset that settings put in force; undefined when they define none of that name. */
export function presetInForce(settings: SettingsState): PresetDefinition | undefined {
  return settings.definitions.find((definition) => definition.name === settings.preset)
}

/**
 * Passes the settings in force on to the parts that work under them.
 *
 * Control alone decides which version is in force; this only tells the others, in one step, so
 * that coordinator and owner of an instance never work under different presets.
 *
 * @internal
 */
export class SettingsKeeper {
  private newest = 0

  constructor(
    private readonly parts: InstanceParts,
    private readonly log: (line: string) => void,
  ) {}

  /** Version that the parts work under; 0 before the first. */
  get version(): number {
    return this.newest
  }

  readonly apply = (settings: SettingsState, current: boolean): void => {
    const preset = presetInForce(settings)
    if (preset === undefined) {
      this.log(`version ${settings.version} names the unknown preset "${settings.preset}"`)
      return
    }
    const isNew = settings.version > this.newest
    if (isNew) this.log(`preset ${preset.name} in force, version ${settings.version}`)
    this.newest = Math.max(this.newest, settings.version)
    this.parts.coordinator.use((coordinator) => {
      const { version } = settings
      coordinator.tell({ kind: CoordinatorEventKind.Preset, preset, version, current })
    })
    if (!isNew) return
    this.parts.owner.use((owner) => {
      owner.tell({ kind: OwnerEventKind.Preset, preset })
    })
  }
}
