import fs from 'node:fs'
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '../../../..')

/**
 * What the deployment starts Node.js with for a role.
 *
 * @throws when the deployment has no such role
 */
export function nodeOptions(role: string): string[] {
  const deployment = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')
  const run = new RegExp(`^run = "node (.*) target/\\S+ ${role} `, 'm').exec(deployment)
  if (run?.[1] === undefined) throw new Error(`the deployment has no role ${role}`)
  return run[1].split(' ')
}
