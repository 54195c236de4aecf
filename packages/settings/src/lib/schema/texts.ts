import net from 'node:net'
import { MAX_NAME_LENGTH, isValidName } from '@cherryhitch/model'
import { Schema } from 'effect'

/** A string with a custom check; `allowed` describes it in messages and on the settings page. */
function text(allowed: string, isAllowed: (value: string) => boolean, description: string) {
  const rule = Schema.makeFilter((value: string) => isAllowed(value))
  // Annotate before `check`: annotations of a check without its own JSON Schema don't reach the
  // settings page.
  return Schema.String.annotate({ title: allowed, description }).check(rule)
}

/** Name of an instance, zone, caller or operator. */
export function nameText(description: string) {
  const allowed = `a name of up to ${MAX_NAME_LENGTH} letters, digits, "-" and "_" that starts and ends with a letter or digit`
  return text(allowed, isValidName, description)
}

export function ipText(description: string) {
  return text('an IP address', (value) => net.isIP(value) !== 0, description)
}

/** Path of a file or folder, relative to the folder of the settings file or absolute. */
export function pathText(description: string) {
  const isPath = (value: string) => value.trim() !== '' && !value.includes('\0')
  return text('a path, absolute or from the folder of this file', isPath, description)
}

function isHttpUrl(value: string): boolean {
  return URL.canParse(value) && /^https?:$/.test(new URL(value).protocol)
}

export function urlText(description: string) {
  return text('an http or https URL', isHttpUrl, description)
}
