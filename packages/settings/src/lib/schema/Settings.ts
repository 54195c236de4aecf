import type { LimitSettings } from './limits'
import type { LogLevel } from './settingsSchema'
import type { TimingSettings } from './timing'

/** Files with a private key and its certificates, in PEM. @public */
export interface TlsSettings {
  readonly keyFile: string
  readonly certFile: string
}

/** @public */
export interface InterfaceSettings {
  /** An IP address. */
  readonly host: string
  readonly port: number
  readonly tls?: TlsSettings
}

/** Another instance. @public */
export interface PeerSettings {
  readonly instance: string
  readonly zone: string
  readonly host: string
  readonly port: number
  readonly voter: boolean
}

/** Files that hold a token each. @public */
export interface TokenSettings {
  readonly callers: readonly {
    readonly caller: string
    readonly file: string
    readonly weight: number
  }[]
  readonly endpoints: string
  readonly operators: readonly { readonly operator: string; readonly file: string }[]
  readonly instances: string
}

/** Settings of one instance, with defaults filled in; all paths are absolute. @public */
export interface Settings {
  readonly instance: string
  readonly zone: string
  readonly interfaces: {
    readonly callers: InterfaceSettings
    readonly endpoints: InterfaceSettings
    readonly operators: InterfaceSettings
    readonly instances: { readonly host: string; readonly port: number }
  }
  readonly peers: readonly PeerSettings[]
  readonly voter: boolean
  readonly dataFolder?: string
  /** Without tokens, all interfaces are unauthenticated and must be on loopback addresses. */
  readonly tokens?: TokenSettings
  readonly limits: LimitSettings
  readonly timing: TimingSettings
  readonly log: { readonly level: LogLevel; readonly file?: string }
  readonly traces: { readonly file?: string; readonly otlpUrl?: string }
}
