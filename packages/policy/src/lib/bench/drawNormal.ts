/** Draws from the normal distribution of mean 0 and standard deviation 1. @internal */
export function drawNormal(random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
