import type { HttpCounters } from './HttpServer'

/** Counts the requests, responses and refused connections of a server. @internal */
export class Counters {
  private requests = 0
  private abandoned = 0
  private malformed = 0
  private connectionsRefused = 0
  private readonly answers = new Map<number, number>()

  countRequest(): void {
    this.requests += 1
  }

  countAnswer(status: number): void {
    this.answers.set(status, (this.answers.get(status) ?? 0) + 1)
  }

  countAbandoned(): void {
    this.abandoned += 1
  }

  countMalformed(): void {
    this.malformed += 1
  }

  countConnectionRefused(): void {
    this.connectionsRefused += 1
  }

  read(): HttpCounters {
    const { requests, abandoned, malformed, connectionsRefused } = this
    return { requests, abandoned, malformed, connectionsRefused, answers: new Map(this.answers) }
  }
}
