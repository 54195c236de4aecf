import { drainedZonesOf } from '@cherryhitch/control'
import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import { OwnerEventKind } from '@cherryhitch/owner'
import type { PresetDefinition, SettingsState } from '@cherryhitch/protocol'
import type { InstanceParts } from './InstanceParts'

/** The preset that the settings select; undefined if they define none of that name. */
export function presetInForce(settings: SettingsState): PresetDefinition | undefined {
  return settings.definitions.find((definition) => definition.name === settings.preset)
}

/**
 * Distributes the settings in force to the parts that use them.
 *
 * Only the control part decides which version is in force. This class passes it on in one step, so
 * that the coordinator and the owner of an instance never use different presets.
 *
 * @internal
 */
export class SettingsDistributor {
  private appliedVersion = 0

  constructor(
    private readonly parts: InstanceParts,
    private readonly zone: string,
    private readonly log: (line: string) => void,
  ) {}

  /** Version of the settings that the parts use; 0 before the first. */
  get version(): number {
    return this.appliedVersion
  }

  readonly apply = (settings: SettingsState, current: boolean): void => {
    const preset = presetInForce(settings)
    if (preset === undefined) {
      this.log(`version ${settings.version} selects the unknown preset "${settings.preset}"`)
      return
    }
    const isNew = settings.version > this.appliedVersion
    if (isNew) this.log(`preset ${preset.name} in force, version ${settings.version}`)
    this.appliedVersion = Math.max(this.appliedVersion, settings.version)
    this.parts.coordinator.use((coordinator) => {
      const { version } = settings
      coordinator.tell({ kind: CoordinatorEventKind.Preset, preset, version, current })
    })
    if (!isNew) return
    this.parts.owner.use((owner) => {
      owner.tell({ kind: OwnerEventKind.Preset, preset })
      const drained = drainedZonesOf(settings.zoneDrains).has(this.zone)
      owner.tell({ kind: OwnerEventKind.ZoneDrain, drained })
    })
  }
}
