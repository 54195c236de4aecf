import assert from 'node:assert/strict'
import fs from 'node:fs'
import { it } from 'node:test'
import { renderSettingsPage } from './renderSettingsPage'

const page = new URL('../../../../../docs/settings.md', import.meta.url)

it('the page on settings is the one that the schema gives', () => {
  assert.equal(fs.readFileSync(page, 'utf8'), renderSettingsPage())
})
