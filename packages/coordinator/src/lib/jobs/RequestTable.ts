/** The job or forwarded request that a connected caller's request waits for. @internal */
export type OpenRequest =
  | { readonly sequence: number; readonly forwardId?: undefined }
  | { readonly forwardId: string; readonly sequence?: undefined }

/** Requests of connected callers that have not been replied to. @internal */
export class RequestTable {
  private readonly requests = new Map<string, OpenRequest>()

  get size(): number {
    return this.requests.size
  }

  open(requestId: string, request: OpenRequest): void {
    this.requests.set(requestId, request)
  }

  close(requestId: string): OpenRequest | undefined {
    const request = this.requests.get(requestId)
    this.requests.delete(requestId)
    return request
  }
}
