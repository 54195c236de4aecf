import type { Deployment, EndpointLedgerData } from '@cherryhitch/stand-ins'

/** What the bench asks of a process with stand-in endpoints. */
export enum EndpointCommandKind {
  Start = 'start',
  Fault = 'fault',
  Collect = 'collect',
}

/** What can happen to an endpoint. */
export enum EndpointFault {
  /** Back to normal. */
  None = 'none',
  FailFast = 'fail_fast',
  FailSlow = 'fail_slow',
  /** Eight times slower. */
  Straggle = 'straggle',
  Kill = 'kill',
  /** Accepts and never answers. */
  Hang = 'hang',
  /** Open connections fall silent, new ones work. */
  Silence = 'silence',
  Leave = 'leave',
  /** A killed or left endpoint starts again under a new boot. */
  Restart = 'restart',
}

/** An endpoint that a process is to run. */
export interface EndpointPlace {
  readonly endpoint: string
  readonly zone: string
  readonly rack: string
  /** Addresses of the instances of its zone. */
  readonly instances: readonly string[]
}

export type EndpointCommand =
  | {
      readonly kind: EndpointCommandKind.Start
      readonly deployment: Deployment
      readonly places: readonly EndpointPlace[]
      readonly seed: number
    }
  | {
      readonly kind: EndpointCommandKind.Fault
      readonly endpoint: string
      readonly fault: EndpointFault
    }
  | { readonly kind: EndpointCommandKind.Collect }

export interface EndpointReply {
  readonly ledger?: EndpointLedgerData
}

/** What the bench asks of the process that stands for the network between zones. */
export enum LinkCommandKind {
  Start = 'start',
  Cut = 'cut',
  Heal = 'heal',
  Silence = 'silence',
}

/** A link from one instance to another. */
export interface LinkPlace {
  readonly name: string
  /** Host and port it leads to. */
  readonly target: string
  readonly delayMs: number
}

export type LinkCommand =
  | {
      readonly kind: LinkCommandKind.Start
      readonly links: readonly LinkPlace[]
      readonly seed: number
    }
  | {
      readonly kind: LinkCommandKind.Cut | LinkCommandKind.Heal | LinkCommandKind.Silence
      readonly names: readonly string[]
    }

export interface LinkReply {
  /** Where each link is entered, by name. */
  readonly addresses?: Readonly<Record<string, string>>
}
