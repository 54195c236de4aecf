import fs from 'node:fs'
import path from 'node:path'
import type { SeededRandom } from '@cherryhitch/stand-ins'
import { shadowFolderOf } from './shadowFolderOf'

/** In this share of the losses of power, all that wasn't synced is gone. */
const NOTHING_LEFT_SHARE = 0.5

/** Loses a drawn part of what the ended process of a data folder had not synced. */
export function losePower(folder: string, random: SeededRandom): void {
  const shadowFolder = shadowFolderOf(folder)
  const keepsNothing = random.chance(NOTHING_LEFT_SHARE)
  const names = new Set([...listFiles(folder), ...listFiles(shadowFolder)])
  for (const name of names) {
    const live = path.join(folder, name)
    const shadow = path.join(shadowFolder, name)
    const synced = readIfThere(shadow)
    const written = readIfThere(live)
    const kept = keepsNothing ? synced : keepSome(synced, written, random)
    replace(live, kept)
    replace(shadow, kept)
  }
}

function keepSome(
  synced: Buffer | undefined,
  written: Buffer | undefined,
  random: SeededRandom,
): Buffer | undefined {
  if (synced === undefined || written === undefined) {
    return random.chance(0.5) ? synced : written
  }
  if (!synced.equals(written.subarray(0, synced.length))) {
    return random.chance(0.5) ? synced : written
  }
  return written.subarray(0, random.integer(synced.length, written.length))
}

function listFiles(folder: string): readonly string[] {
  return fs.existsSync(folder) ? fs.readdirSync(folder) : []
}

function readIfThere(file: string): Buffer | undefined {
  return fs.existsSync(file) ? fs.readFileSync(file) : undefined
}

function replace(file: string, content: Buffer | undefined): void {
  if (content === undefined) fs.rmSync(file, { force: true })
  else fs.writeFileSync(file, content)
}
