/** Number of voters that make a majority. @internal */
export function majorityOf(voters: number): number {
  return Math.floor(voters / 2) + 1
}
