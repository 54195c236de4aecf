import { JobVerdict } from '@cherryhitch/protocol'
import type { Envelope, JobOutcome } from '@cherryhitch/protocol'
import type { DispatchEvent } from '../DispatchEvent'
import { JobRelay, RelayActionKind, RelayEventKind } from '../relay/JobRelay'
import type { RelayAction, RelayEvent } from '../relay/JobRelay'
import { WAY_MS } from './OrderTransport'
import type { Processes } from './Processes'
import { requestOf, SentRequests } from './SentRequests'
import { SimulatedZones } from './SimulatedZones'
import type { SimulatedZonesOptions, ZonesWorld } from './SimulatedZones'

/** Interface of the simulation to its entries. @internal */
export interface EntriesWorld extends Omit<
  ZonesWorld,
  'tellRelay' | 'onOutcome' | 'restartRelay' | keyof SimulatedZonesOptions
> {
  readonly zones: SimulatedZonesOptions | undefined
  readonly processes: Processes
  readonly resendsToNextProcess: boolean
  /** The last outcome of each job, and when it came. */
  readonly outcomes: Map<string, JobOutcome>
  readonly answeredAt: Map<string, number>
  /** Called when a job was refused, after the outcome was recorded. */
  readonly onRefused: (jobId: string) => void
}

/** The only entry of a simulation without zones. @internal */
export const ENTRY = 'entry'

/** The entries, which relay jobs to a leader, and the answers to their callers. @internal */
export class SimulatedEntries {
  readonly zones: SimulatedZones | undefined
  readonly #relays = new Map<string, JobRelay>()
  readonly #sent = new SentRequests()

  constructor(private readonly world: EntriesWorld) {
    this.zones = this.#makeZones()
    for (const entry of this.zones?.entries ?? [ENTRY]) this.#relays.set(entry, new JobRelay())
  }

  #makeZones(): SimulatedZones | undefined {
    const { zones } = this.world
    if (zones === undefined) return undefined
    return new SimulatedZones({
      ...this.world,
      ...zones,
      tellRelay: (entry, event) => {
        this.step(entry, event)
      },
      onOutcome: (outcome) => {
        this.#onOutcome(outcome)
      },
      restartRelay: (entry) => {
        this.#relays.set(entry, new JobRelay())
      },
    })
  }

  step(entry: string, event: RelayEvent): void {
    this.#perform(entry, this.#relays.get(entry)?.step(this.world.now(), event) ?? [])
  }

  tick(): void {
    for (const [entry, relay] of this.#relays) {
      if (this.zones?.isEntryUp(entry) === false) continue
      this.#perform(entry, relay.tick(this.world.now()))
    }
  }

  /** Requests that a link would resend to a leader if it did not distinguish its processes. */
  unacknowledged(leader: number): readonly DispatchEvent[] {
    return this.#sent.unacknowledged(this.world.now(), leader)
  }

  /** Brings the answer of a leader to an entry. */
  sendOutcome(leader: number, entry: string, outcome: JobOutcome): void {
    const from = `d${leader}`
    if (this.zones?.areLinked(from, entry) === false) return
    this.world.after(WAY_MS, () => {
      if (this.zones?.isEntryUp(entry) === false) return
      this.step(entry, { kind: RelayEventKind.Outcome, from, outcome })
    })
  }

  #perform(entry: string, actions: readonly RelayAction[]): void {
    for (const action of actions) {
      if (action.kind === RelayActionKind.Answer) this.#onOutcome(action.outcome)
      else this.#deliver(entry, action.to, action.envelope)
    }
  }

  #deliver(entry: string, to: string, message: Envelope): void {
    const leader = Number(to.slice(1))
    const event = requestOf(entry, message)
    if (event === undefined) return
    this.zones?.noteSent(entry, event)
    if (this.zones?.areLinked(entry, to) === false) return
    if (this.world.resendsToNextProcess) this.#sent.note(this.world.now(), leader, event)
    const deliver = (): void => {
      const outcome = this.zones?.refusal(leader, event)
      if (outcome !== undefined) this.sendOutcome(leader, entry, outcome)
      else this.world.tell(leader, event)
    }
    this.world.after(WAY_MS, this.world.processes.bind(leader, deliver))
  }

  #onOutcome(outcome: JobOutcome): void {
    const { requestId } = outcome
    const { outcomes, answeredAt } = this.world
    const earlier = outcomes.get(requestId)
    // Where jobs are handed in at several entries, a job was refused only if all attempts were.
    const settled = this.zones?.settle(outcome) ?? outcome
    outcomes.set(requestId, settled)
    answeredAt.set(requestId, this.world.now())
    // A caller that resubmits a job of unknown outcome knows that its first attempt may have run.
    const isResubmitted = this.zones === undefined && earlier?.verdict === JobVerdict.UNKNOWN
    if (settled.verdict !== JobVerdict.REFUSED || isResubmitted) return
    this.world.onRefused(requestId)
  }
}
