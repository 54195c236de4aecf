import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createCli } from './createCli'
import { ExitCode } from './ExitCode'
import { FakeInstance } from './fixtures/FakeInstance'
import { runWith } from './fixtures/runWith'

const ioOfNothing = {
  print: () => undefined,
  printError: () => undefined,
  isTerminal: false,
  env: {},
  now: () => 0,
  awaitStop: () => Promise.resolve(''),
}

describe('a wrong command line', () => {
  const change = ['--reason', 'r', '--operator', 'mori']
  const cases: readonly (readonly [string, readonly string[], RegExp])[] = [
    ['no command', [], /No command is given\.\nSee cherryhitch --help/],
    ['an unknown command', ['prest'], /no command "prest"\.\nSee cherryhitch --help/],
    ['an unknown flag', ['instances', '--jsn'], /--jsn.*\nSee cherryhitch instances --help/],
    ['a flag without its value', ['instances', '--url'], /--url.*value is missing/],
    ['a missing argument', ['job'], /missing required args/],
    ['an argument too many', ['instances', 'a1'], /Unused args/],
    ['a flag given twice', ['submit', '--service', 'a', '--service', 'b'], /--service is given 2/],
    ['a URL that is none', ['instances', '--url', 'ishikari'], /not a URL\.\nGive one such as/],
    ['a URL of another protocol', ['instances', '--url', 'ftp://a'], /not a URL/],
    ['a token file that is missing', ['jobs', '--token-file', '/no/such'], /\/no\/such can't be/],
    ['preset: an unknown action', ['preset', 'sett'], /not show, list, set or define/],
    ['preset set: no name', ['preset', 'set', '--from', '1', ...change], /No preset is named/],
    ['preset set: no version', ['preset', 'set', 'peak', ...change], /--from is missing\.\n.*show/],
    ['preset set: a negative version', ['preset', 'set', 'p', '--from=-1', ...change], /--from -1/],
    ['preset set: a word for a version', ['preset', 'set', 'p', '--from', '1e3'], /--from 1e3/],
    ['preset set: no reason', ['preset', 'set', 'p', '--from', '1'], /--reason is missing/],
    [
      'preset set: an empty reason',
      ['preset', 'set', 'p', '--from', '1', '--reason', ''],
      /reason/,
    ],
    [
      'preset set: nobody',
      ['preset', 'set', 'p', '--from', '1', '--reason', 'r'],
      /Nobody is named/,
    ],
    ['preset define: no file', ['preset', 'define', '/no/such', '--from', '1'], /can't be read/],
    ['audit: an unknown action', ['audit', 'lst'], /not list, show, verify, export or in-force/],
    ['audit show: no position', ['audit', 'show'], /No record is named/],
    ['audit list: a position that is none', ['audit', 'list', '--from', 'x'], /--from x/],
    ['audit: a file that is missing', ['audit', 'list', '--file', '/no/such'], /can't be read/],
    ['control: an unknown action', ['control', 'sack'], /not status, init, add, promote or remove/],
    ['control add: no disk', ['control', 'add', '--instance', 'a1'], /--disk-id are needed/],
    ['control init: no settings', ['control', 'init'], /--settings and --cluster are needed/],
    ['serve: no settings', ['serve'], /--settings is missing/],
    ['submit: no job', ['submit'], /There is no job/],
    ['submit: a file that is missing', ['submit', '/no/such'], /can't be read as JSON/],
    [
      'submit: a payload that is not JSON',
      ['submit', '--service', 's', '--payload', '{a'],
      /not JSON/,
    ],
    ['stand-in-endpoint: no zone', ['stand-in-endpoint', '--service', 's'], /--zone are needed/],
    ['submit: a file and a service', ['submit', 'job.json', '--service', 's'], /--service has no/],
    [
      'submit: a file and a deadline',
      ['submit', 'j', '--deadline-ms', '9'],
      /--deadline-ms has no/,
    ],
    ['audit in-force: a part', ['audit', 'in-force', '--limit', '5'], /--limit has no meaning/],
    ['audit verify: a part', ['audit', 'verify', '--from', '5'], /--from has no meaning/],
    ['audit list: a time', ['audit', 'list', '--at', 'x'], /--at has no meaning for "audit list"/],
    [
      'audit list: two parts',
      ['audit', 'list', '--last', '5', '--from', '1'],
      /neither --from nor/,
    ],
    ['preset show: a version', ['preset', 'show', '--from', '3'], /--from has no meaning/],
    ['control status: a disk', ['control', 'status', '--disk-id', 'd'], /--disk-id has no meaning/],
    ['control add: a cluster', ['control', 'add', '--cluster', 'c'], /--cluster has no meaning/],
    ['demo: a seed that is none', ['demo', '--seed', 'x'], /--seed x is not a whole number/],
  ]
  for (const [what, argv, says] of cases) {
    it(`exits with 2 and says what to do: ${what}`, async () => {
      const run = await runWith(argv)
      assert.equal(run.exitCode, ExitCode.Usage, run.err)
      assert.match(run.err, says)
      assert.ok(run.err.includes('\n'), 'a second line tells what to do')
      assert.equal(run.out, '')
    })
  }
})

describe('a refusal', () => {
  const set = ['preset', 'set', 'peak', '--from', '1', '--reason', 'r', '--operator', 'mori']
  const submit = ['submit', '--service', 'tracing']
  const cases: readonly (readonly [string, readonly string[], number, object, ExitCode, RegExp])[] =
    [
      [
        'not run, come back',
        submit,
        503,
        { ran: 'no', retryAfter: 0.35 },
        ExitCode.NotRun,
        /in 0.35 s/,
      ],
      ['never fits', submit, 422, { ran: 'no' }, ExitCode.NotRun, /does not help/],
      ['no token', ['jobs'], 401, { ran: 'no' }, ExitCode.NotRun, /--token-file/],
      ['another token', ['jobs'], 403, { ran: 'no' }, ExitCode.NotRun, /another interface/],
      ['may have run', submit, 502, { ran: 'unknown' }, ExitCode.Unknown, /may have run/],
      ['a change may be committed', set, 504, { ran: 'unknown' }, ExitCode.Unknown, /--command-id/],
      ['another came first', set, 409, { ran: 'no' }, ExitCode.Conflict, /preset show/],
      ['a change not allowed', set, 422, { ran: 'no' }, ExitCode.NotRun, /does not help/],
      ['no quorum for a change', set, 503, { ran: 'no' }, ExitCode.NotRun, /did not run/],
      [
        'no quorum for a read',
        ['control', 'status'],
        503,
        {},
        ExitCode.Unreachable,
        /another zone/,
      ],
      ['no problem document', ['jobs'], 500, { a: 1 }, ExitCode.Failed, /HTTP 500/],
    ]
  for (const [what, argv, status, problem, exitCode, says] of cases) {
    it(`exits with ${exitCode} after ${status}: ${what}`, async (t) => {
      const body = 'a' in problem ? problem : { detail: 'The detail.', ...problem }
      const fake = await FakeInstance.start(t, () => ({ status, body }))
      const run = await runWith([...argv, '--url', fake.url])
      assert.equal(run.exitCode, exitCode, run.err)
      assert.match(run.err, says)
      if (!('a' in problem)) assert.match(run.err, /The detail\./)
      assert.equal(run.out, '')
    })
  }
})

describe('a lost answer', () => {
  it('is "nobody answered" where nothing listens', async (t) => {
    const fake = await FakeInstance.start(t, () => ({}))
    const closed = fake.url.replace(/\d+$/, '1')
    const run = await runWith(['instances', '--url', closed])
    assert.equal(run.exitCode, ExitCode.Unreachable)
    assert.match(run.err, /did not answer.*\n.*another instance/)
  })

  it('is "nobody answered" where a read breaks off', async (t) => {
    const fake = await FakeInstance.start(t, () => ({}))
    const run = await runWith(['instances', '--url', fake.url])
    assert.equal(run.exitCode, ExitCode.Unreachable)
  })

  it('may have run where a change breaks off, and its command id was told before', async (t) => {
    const fake = await FakeInstance.start(t, () => ({}))
    const change = ['--from', '1', '--reason', 'r', '--operator', 'mori', '--url', fake.url]
    const run = await runWith(['preset', 'set', 'peak', ...change])
    assert.equal(run.exitCode, ExitCode.Unknown)
    const commandId = /^command id (\S+)\n/.exec(run.err)?.[1] ?? 'none'
    assert.match(run.err, new RegExp(`--command-id ${commandId}`))
  })

  it('may have run where a submission breaks off, and its key was told before', async (t) => {
    const fake = await FakeInstance.start(t, () => ({}))
    const flags = ['--non-idempotent', '--url', fake.url]
    const run = await runWith(['submit', '--service', 'notice', ...flags])
    assert.equal(run.exitCode, ExitCode.Unknown)
    const key = /^submission key (\S+)\n/.exec(run.err)?.[1] ?? 'none'
    assert.match(run.err, new RegExp(`--key ${key}, never with another`))
    assert.equal(fake.seen[0]?.headers['idempotency-key'], key)
  })

  it('may have run where the answer to a change is no JSON', async (t) => {
    const fake = await FakeInstance.start(t, () => ({ status: 200, body: '<html>' }))
    const run = await runWith(['job', 'a.b.1', '--cancel', '--url', fake.url])
    assert.equal(run.exitCode, ExitCode.Unknown)
    assert.match(run.err, /not JSON/)
  })
})

describe('help and version', () => {
  it('prints the version', async () => {
    assert.match((await runWith(['version'])).out, /^\d+\.\d+\.\d+$/)
  })

  it('shows examples and exit codes for every command', async (t) => {
    for (const { name } of createCli(ioOfNothing).commands) {
      const info = t.mock.method(console, 'info', () => undefined)
      assert.equal((await runWith([name, '--help'])).exitCode, ExitCode.Ok)
      const help = info.mock.calls.map(({ arguments: [text] }) => String(text)).join('\n')
      info.mock.restore()
      assert.match(help, /Exit codes:\n {2}0 {2}done/, name)
      if (name !== 'version') assert.match(help, /Examples:\ncherryhitch /, name)
    }
  })
})
