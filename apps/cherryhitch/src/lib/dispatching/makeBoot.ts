import { randomInt } from 'node:crypto'

/** Unit in which the time of day enters a boot number: shorter than any restart, in milliseconds. */
const UNIT_MS = 100
/** Numbers per unit. The product with the time of day stays exact in a double until 2078. */
const NUMBERS_PER_UNIT = 2 ** 18

/**
 * Boot number of a process: it grows with the time of day, and has a random part. The time of day may
 * have been set back between two processes of an instance, to the very same moment where a machine
 * starts with a fixed time. With equal numbers, the messages and commands of the second process would
 * count as repeated ones of the first, and be answered without taking effect.
 *
 * @param timeOfDay - in milliseconds since the epoch
 * @internal
 */
export function makeBoot(timeOfDay: number, random: (max: number) => number = randomInt): number {
  return Math.floor(timeOfDay / UNIT_MS) * NUMBERS_PER_UNIT + random(NUMBERS_PER_UNIT)
}
