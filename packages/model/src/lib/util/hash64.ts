import { hash32 } from './hash32'

const SECOND_SEED = 0x9e3779b9
const HEX_DIGITS = 8

/** Stable, non-cryptographic 64-bit hash as 16 hexadecimal digits. @public */
export function hash64(text: string): string {
  const high = hash32(text).toString(16).padStart(HEX_DIGITS, '0')
  const low = hash32(text, SECOND_SEED).toString(16).padStart(HEX_DIGITS, '0')
  return high + low
}
