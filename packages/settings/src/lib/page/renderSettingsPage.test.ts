import assert from 'node:assert/strict'
import fs from 'node:fs'
import { it } from 'node:test'
import { renderSettingsPage } from './renderSettingsPage'

const page = new URL('../../../../../docs/settings.md', import.meta.url)

it('the settings page is up to date with the schema', () => {
  assert.equal(fs.readFileSync(page, 'utf8'), renderSettingsPage())
})
