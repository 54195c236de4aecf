/** Counts a job's running tasks per endpoint and rack, so the picker can spread them. @internal */
export class JobSpread {
  private readonly endpoints = new Map<string, number>()
  private readonly racks = new Map<string, number>()

  add(endpoint: string, rack: string): void {
    this.endpoints.set(endpoint, this.atEndpoint(endpoint) + 1)
    this.racks.set(rack, this.inRack(rack) + 1)
  }

  remove(endpoint: string, rack: string): void {
    decrement(this.endpoints, endpoint)
    decrement(this.racks, rack)
  }

  atEndpoint(endpoint: string): number {
    return this.endpoints.get(endpoint) ?? 0
  }

  inRack(rack: string): number {
    return this.racks.get(rack) ?? 0
  }
}

function decrement(counts: Map<string, number>, key: string): void {
  const count = counts.get(key) ?? 0
  if (count <= 1) counts.delete(key)
  else counts.set(key, count - 1)
}
