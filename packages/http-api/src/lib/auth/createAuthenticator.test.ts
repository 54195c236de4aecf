import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AccessRole } from './Authenticator'
import { createAuthenticator } from './createAuthenticator'

const tokens = [
  { token: 'desk-secret', name: 'desk', role: AccessRole.Caller },
  { token: 'both-secret', name: 'desk-2', role: AccessRole.Caller },
  { token: 'both-secret', name: 'sato', role: AccessRole.Operator },
  { token: 'op-secret', name: 'tanaka', role: AccessRole.Operator },
]

describe('createAuthenticator with tokens', () => {
  const auth = createAuthenticator(AccessRole.Caller, tokens)
  const cases: readonly (readonly [string | undefined, string])[] = [
    ['Bearer desk-secret', 'desk'],
    ['bearer   desk-secret ', 'desk'],
    ['Bearer both-secret', 'desk-2'],
    ['Bearer op-secret', 'forbidden'],
    ['Bearer desk-secre', 'unauthenticated'],
    ['Bearer desk-secret2', 'unauthenticated'],
    ['Bearer ', 'unauthenticated'],
    ['Basic desk-secret', 'unauthenticated'],
    ['desk-secret', 'unauthenticated'],
    [undefined, 'unauthenticated'],
  ]
  for (const [authorization, expected] of cases) {
    it(`takes ${String(authorization)} for ${expected}`, () => {
      const headers = authorization === undefined ? {} : { authorization }
      const result = auth.identify({ ...headers, 'cherryhitch-caller': 'somebody' })
      assert.equal(result.ok ? result.val : result.val.kind, expected)
    })
  }
})

describe('createAuthenticator without tokens', () => {
  it('trusts the header if the role has no tokens', () => {
    const callerTokens = tokens.filter(({ role }) => role === AccessRole.Caller)
    const auth = createAuthenticator(AccessRole.Operator, callerTokens)
    const headers = { 'cherryhitch-operator': 't.sato@example.org' }
    assert.equal(auth.identify(headers).unwrap(), 't.sato@example.org')
    assert.equal(auth.identify({}).unwrap(), '')
    assert.ok(createAuthenticator(AccessRole.Caller, []).identify({}).err)
    assert.ok(auth.identify({ 'cherryhitch-operator': 'two words' }).err)
  })

  it('accepts endpoints, since heartbeats name them', () => {
    assert.equal(createAuthenticator(AccessRole.Endpoint, []).identify({}).unwrap(), '')
  })
})
