import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { ReadControlReplySchema, SettingsStateSchema } from '@cherryhitch/protocol'
import type { ReadControlReply, SettingsState } from '@cherryhitch/protocol'
import { ClientActionKind } from './ClientEvent'
import type { ClientAction } from './ClientEvent'
import { defaultClientTiming } from './ClientOptions'
import { LeaderFinder } from './LeaderFinder'
import { SettingsClient } from './SettingsClient'

const { settingsLeaseMs, attemptMs } = defaultClientTiming

function version(number: number): SettingsState {
  return create(SettingsStateSchema, { version: number, preset: 'peak' })
}

function versionOf(client: SettingsClient): number | undefined {
  return client.settings?.version
}

function startClient(storesSettings = false): SettingsClient {
  const voters = ['a', 'b', 'c']
  const options = { instance: 'f', boot: 1, voters, timing: defaultClientTiming, storesSettings }
  return new SettingsClient(options, new LeaderFinder('f', voters))
}

function poll(client: SettingsClient, now: number): string {
  const sent = client.tick(now).find(({ kind }) => kind === ClientActionKind.Send)
  assert.ok(sent?.kind === ClientActionKind.Send && sent.envelope.body.case === 'readControl')
  return sent.envelope.body.value.requestId
}

function reply(requestId: string, settings: SettingsState, ok = true): ReadControlReply {
  return create(ReadControlReplySchema, { requestId, ok, settings, leader: 'a' })
}

function confirmedVersions(actions: readonly ClientAction[]): number[] {
  return actions.flatMap((action) => {
    if (action.kind !== ClientActionKind.Send) return []
    const { body } = action.envelope
    return body.case === 'settingsApplied' ? [body.value.version] : []
  })
}

describe('SettingsClient', () => {
  it('never goes back to an older version, whatever the order of notices', () => {
    const client = startClient()
    const seen = [2, 5, 3, 5, 4, 6, 1].map((number) => {
      client.onNotice(1, 'a', version(number))
      return client.settings?.version
    })
    assert.deepEqual(seen, [2, 5, 5, 5, 5, 6, 6])
  })

  it('confirms a version again on a repeated notice, and never an older version', () => {
    const client = startClient()
    client.onNotice(1, 'a', version(2))
    assert.deepEqual(confirmedVersions(client.onNotice(2, 'a', version(2))), [2])
    assert.deepEqual(confirmedVersions(client.onNotice(3, 'a', version(1))), [])
  })

  it('starts its lease when the read is sent', () => {
    const client = startClient()
    const requestId = poll(client, 1_000)
    client.onReadReply(1_500, reply(requestId, version(2)))
    assert.ok(client.isCurrent(1_000 + settingsLeaseMs - 1))
    assert.ok(!client.isCurrent(1_000 + settingsLeaseMs))
  })

  for (const [what, wrong] of Object.entries({
    'that was not confirmed by a quorum': (id: string) => reply(id, version(2), false),
    'to another read': () => reply('other', version(2)),
    'with an older version': (id: string) => reply(id, version(1)),
  })) {
    it(`keeps its version after a reply ${what}; a lease needs a quorum's reply`, () => {
      const client = startClient()
      client.adopt(0, version(2))
      client.onReadReply(1_100, wrong(poll(client, 1_000)))
      assert.equal(client.settings?.version, 2)
      const mayBeCurrent = what.startsWith('with an older')
      assert.equal(client.isCurrent(1_200), mayBeCurrent)
    })
  }

  it('abandons an unanswered read and sends a new one', () => {
    const client = startClient()
    const first = poll(client, 1_000)
    const second = poll(client, 1_000 + attemptMs)
    assert.notEqual(first, second)
    client.onReadReply(1_001 + attemptMs, reply(first, version(2)))
    assert.equal(client.settings, undefined, 'the late reply to the first read is ignored')
  })

  it('stores a version before it takes effect if there is a disk', () => {
    const client = startClient(true)
    const [keep] = client.onNotice(1, 'a', version(2))
    assert.equal(keep?.kind, ClientActionKind.StoreSettings)
    assert.equal(versionOf(client), undefined)
    assert.deepEqual(client.onNotice(2, 'a', version(2)), [], 'neither stored twice nor confirmed')
    client.onStored(3, version(2))
    assert.equal(versionOf(client), 2)
  })
})
