import assert from 'node:assert/strict'
import path from 'node:path'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { formatSettingsProblem } from '../problems/SettingsProblem'
import { loadSettings } from './loadSettings'
import { parseSettings } from './parseSettings'

/** A valid file, one setting per line. */
const lines = [
  '{',
  '  // Comments are fine.',
  '  "instance": "north-1a",',
  '  "zone": "north-1",',
  '  "interfaces": {',
  '    "callers": { "host": "127.0.0.1", "port": 7001 },',
  '    "endpoints": { "host": "127.0.0.1", "port": 7002 },',
  '    "operators": { "host": "::1", "port": 7003 },',
  '    "instances": { "host": "127.0.0.1", "port": 7004 }',
  '  },',
  '  "peers": [',
  '    { "instance": "north-2a", "zone": "north-2", "host": "127.0.0.1", "port": 7014 },',
  '    { "instance": "north-3a", "zone": "north-3", "host": "127.0.0.1", "port": 7024 }',
  '  ],',
  '  "voter": true,',
  '  "dataFolder": "data",',
  '  "timing": { "heartbeatMs": 400 },',
  '}',
]
const valid = lines.join('\n')

/** A line of the valid file, counted from 1, and its replacement. */
type Change = readonly [line: number, text: string]

function change(...changes: readonly Change[]): string {
  const changed = [...lines]
  for (const [line, text] of changes) changed[line - 1] = text
  return changed.join('\n')
}

function problemsOf(text: string): string[] {
  const result = parseSettings(text, 'a.jsonc')
  return result.ok ? [] : result.val.map(formatSettingsProblem)
}

const tokens = (callers: string, operators = '') =>
  `"tokens": { "callers": [${callers}], "endpoints": "e", "operators": [${operators}], "instances": "i" },`
const aName =
  'a name of up to 64 letters, digits, "-" and "_" that starts and ends with a letter or digit'

const badFiles: { what: string; text: string; problems: string[] }[] = [
  {
    what: 'a port out of range',
    text: change([6, '"callers": { "host": "127.0.0.1", "port": 70000 },']),
    problems: [
      'a.jsonc:6: interfaces.callers.port: found 70000; allowed is a whole number from 1 to 65535',
    ],
  },
  {
    what: 'a text in place of a number',
    text: change([17, '"timing": { "heartbeatMs": "400" }']),
    problems: [
      'a.jsonc:17: timing.heartbeatMs: found "400"; allowed is a whole number from 100 to 5000',
    ],
  },
  {
    what: 'a missing setting',
    text: change([3, '']),
    problems: [`a.jsonc:1: instance: found nothing; allowed is ${aName}`],
  },
  {
    what: 'an unknown setting',
    text: change([17, '"timing": { "heartbeat": 400 },']),
    problems: [
      'a.jsonc:17: timing.heartbeat: found an unknown setting; allowed is one of heartbeatMs, endpointTimeoutMs, leaseMs, instanceHeartbeatMs, instanceTimeoutMs, balancerDelayMs, drainLimitMs, settingsWaitMs',
    ],
  },
  {
    what: 'TLS between instances, which is not supported',
    text: change([9, '"instances": { "host": "127.0.0.1", "port": 7004, "tls": {} }']),
    problems: [
      'a.jsonc:9: interfaces.instances.tls: found an unknown setting; allowed is one of host, port',
    ],
  },
  {
    what: 'a host name',
    text: change([12, '{ "instance": "b", "zone": "z", "host": "localhost", "port": 7014 },']),
    problems: ['a.jsonc:12: peers[0].host: found "localhost"; allowed is an IP address'],
  },
  {
    what: 'a name with a dot',
    text: change([3, '"instance": "north.1a",']),
    problems: [`a.jsonc:3: instance: found "north.1a"; allowed is ${aName}`],
  },
  {
    what: 'a list in place of a group',
    text: change([17, '"limits": [],']),
    problems: ['a.jsonc:17: limits: found a list; allowed is a group of settings'],
  },
  {
    what: 'an unknown log level',
    text: change([17, '"log": { "level": "loud" },']),
    problems: [
      'a.jsonc:17: log.level: found "loud"; allowed is one of "trace", "debug", "info", "warn", "error", "fatal"',
    ],
  },
  {
    what: 'a collector that is not a URL',
    text: change([17, '"traces": { "otlpUrl": "collector:4318" },']),
    problems: [
      'a.jsonc:17: traces.otlpUrl: found "collector:4318"; allowed is an http or https URL',
    ],
  },
  {
    what: 'a syntax error',
    text: change([4, '"zone" "north-1",']),
    problems: ['a.jsonc:4: found a syntax error (ColonExpected); allowed is JSON with comments'],
  },
  {
    what: 'a file whose top level is not a group',
    text: '[]',
    problems: ['a.jsonc:1: found a list; allowed is a group of settings'],
  },
  {
    what: 'a duplicate setting',
    text: change([17, '"voter": true,']),
    problems: ['a.jsonc:17: voter: found it a second time; allowed is one'],
  },
  {
    what: 'its own name among the peers',
    text: change([
      12,
      '{ "instance": "north-1a", "zone": "z", "host": "127.0.0.1", "port": 7014 },',
    ]),
    problems: [
      'a.jsonc:12: peers[0].instance: found this instance\'s own name "north-1a"; allowed is each other instance once',
    ],
  },
  {
    what: 'a duplicate peer with the same address',
    text: change([12, lines[12]?.replace(/$/, ',') ?? '']),
    problems: [
      'a.jsonc:13: peers[1].instance: found "north-3a" again; allowed is each other instance once',
      'a.jsonc:13: peers[1].port: found the address 127.0.0.1:7024 of another instance; allowed is an address of its own for each instance',
    ],
  },
  {
    what: 'a peer with the address of this instance',
    text: change([12, '{ "instance": "b", "zone": "z", "host": "127.0.0.1", "port": 7004 },']),
    problems: [
      'a.jsonc:12: peers[0].port: found the address 127.0.0.1:7004 of another instance; allowed is an address of its own for each instance',
    ],
  },
  {
    what: 'a peer with a wildcard address',
    text: change([12, '{ "instance": "b", "zone": "z", "host": "0.0.0.0", "port": 7014 },']),
    problems: [
      'a.jsonc:12: peers[0].host: found "0.0.0.0"; allowed is the address that leads to the instance',
    ],
  },
  {
    what: 'a zone in a different spelling',
    text: change([
      12,
      '{ "instance": "b", "zone": "North-1", "host": "127.0.0.1", "port": 7014 },',
    ]),
    problems: [
      'a.jsonc:12: peers[0].zone: found "North-1"; allowed is "north-1", as the zone is written above',
    ],
  },
  {
    what: 'two interfaces on one port, one of them spelled differently',
    text: change([6, '"callers": { "host": "0:0:0:0:0:0:0:1", "port": 7003 },']),
    problems: [
      'a.jsonc:8: interfaces.operators.port: found the address [::1]:7003 of another interface; allowed is an address of its own for each interface',
    ],
  },
  {
    what: 'an open interface and an announced wildcard address',
    text: change([7, '"endpoints": { "host": "0.0.0.0", "port": 7002 },']),
    problems: [
      'a.jsonc:7: interfaces.endpoints.host: found "0.0.0.0"; allowed is one address of this machine, since others are told it',
      'a.jsonc:7: interfaces.endpoints.host: found "0.0.0.0"; allowed is a loopback address such as 127.0.0.1 while there are no tokens',
    ],
  },
  {
    what: 'a voter without a data folder',
    text: change([16, '']),
    problems: ['a.jsonc:1: dataFolder: found nothing; allowed is a path, since voter is true'],
  },
  {
    what: 'no voter at all',
    text: change([15, '"voter": false,']),
    problems: [
      'a.jsonc:15: voter: found no voter at all; allowed is at least one voter, here or among the peers; three are usual',
    ],
  },
  {
    what: 'a heartbeat too slow for the default timeouts',
    text: change([17, '"timing": { "heartbeatMs": 1001 },']),
    problems: [
      'a.jsonc:17: timing.heartbeatMs: found endpointTimeoutMs 3000 with heartbeatMs 1001; allowed is endpointTimeoutMs of at least 3 times heartbeatMs',
      'a.jsonc:17: timing.heartbeatMs: found leaseMs 3000 with heartbeatMs 1001; allowed is leaseMs of at least 3 times heartbeatMs',
    ],
  },
  {
    what: 'a caller and an operator with two tokens each',
    text: change([
      17,
      tokens(
        '{ "caller": "c", "file": "1" },\n{ "caller": "c", "file": "2" }',
        '{ "operator": "o", "file": "3" }, { "operator": "o", "file": "4" }',
      ),
    ]),
    problems: [
      'a.jsonc:18: tokens.callers[1].caller: found "c" again; allowed is each name once',
      'a.jsonc:18: tokens.operators[1].operator: found "o" again; allowed is each name once',
    ],
  },
  {
    what: 'all kinds of problems at once, in file order',
    text: change(
      [3, '"instance": "",'],
      [8, '"operators": { "host": "10.0.0.1", "port": 7003, "prot": 1 },'],
      [13, '{ "instance": "b", "zone": "z", "host": "127.0.0.1" }'],
      [15, '"voter": 1,'],
      [17, '"timing": { "instanceTimeoutMs": 500 },'],
    ),
    problems: [
      `a.jsonc:3: instance: found ""; allowed is ${aName}`,
      'a.jsonc:8: interfaces.operators.prot: found an unknown setting; allowed is one of host, port, tls',
      'a.jsonc:13: peers[1].port: found nothing; allowed is a whole number from 1 to 65535',
      'a.jsonc:15: voter: found 1; allowed is true or false',
      'a.jsonc:17: timing.instanceTimeoutMs: found instanceTimeoutMs 500 with instanceHeartbeatMs 200; allowed is instanceTimeoutMs of at least 3 times instanceHeartbeatMs',
    ],
  },
]

describe('parseSettings', () => {
  it('fills in defaults and resolves relative paths against the folder of the file', () => {
    const settings = parseSettings(valid, '/etc/cherryhitch/a.jsonc').unwrap()
    assert.equal(settings.dataFolder, path.resolve('/etc/cherryhitch/data'))
    assert.equal(settings.timing.heartbeatMs, 400)
    assert.equal(settings.timing.leaseMs, 3000)
    assert.equal(settings.limits.tasksPerJob, 120)
    assert.equal(settings.peers[0]?.voter, false)
  })

  it('accepts any address when there are tokens', () => {
    const text = change(
      [6, '"callers": { "host": "0.0.0.0", "port": 7001 },'],
      [17, tokens('{ "caller": "c", "file": "c" }')],
    )
    const settings = parseSettings(text, '/etc/a.jsonc').unwrap()
    assert.deepEqual(settings.tokens?.callers, [{ caller: 'c', file: '/etc/c', weight: 1 }])
  })

  for (const { what, text, problems } of badFiles) {
    it(`refuses ${what}`, () => {
      assert.deepEqual(problemsOf(text), problems)
    })
  }

  it('never throws and reports valid line numbers for any text', () => {
    const damaged = fc
      .tuple(fc.nat(valid.length), fc.nat(30), fc.json())
      .map(([at, cut, inserted]) => {
        return valid.slice(0, at) + inserted + valid.slice(at + cut)
      })
    const texts = fc.oneof(damaged, fc.json(), fc.string())
    const answers = fc.property(texts, (text) => {
      const result = parseSettings(text, 'a.jsonc')
      const last = text.split('\n').length
      return result.ok || result.val.every(({ line }) => line >= 1 && line <= last)
    })
    fc.assert(answers, { seed: 20261202, numRuns: 1000 })
  })

  it('reports a missing file', () => {
    const result = loadSettings('/nowhere/a.jsonc')
    assert.ok(result.err, 'there is no such file')
    const [problem] = result.val
    assert.match(problem?.found ?? '', /^no readable file \(ENOENT/)
  })
})
