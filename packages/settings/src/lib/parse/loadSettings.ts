import fs from 'node:fs'
import type { Result } from 'ts-results'
import type { SettingsProblem } from '../problems/SettingsProblem'
import type { Settings } from '../schema/Settings'
import { Err } from '@cherryhitch/model'
import { parseSettings } from './parseSettings'

/** Reads the settings file of an instance; see {@link parseSettings}. @public */
export function loadSettings(file: string): Result<Settings, readonly SettingsProblem[]> {
  try {
    return parseSettings(fs.readFileSync(file, 'utf8'), file)
  } catch (err) {
    const found = `no readable file (${err instanceof Error ? err.message : String(err)})`
    return Err([{ file, line: 0, setting: '', found, allowed: 'a settings file' }])
  }
}
