/**
 * Regenerates `docs/settings.md`. Run it with
 * `npx tsx packages/settings/src/lib/page/writeSettingsPage.ts`.
 */
import fs from 'node:fs'
import { renderSettingsPage } from './renderSettingsPage'

const page = new URL('../../../../../docs/settings.md', import.meta.url)
fs.writeFileSync(page, renderSettingsPage())
