import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { ExitCode } from '../../ExitCode'
import type { FakeAnswer } from '../../fixtures/FakeInstance'
import { FakeInstance } from '../../fixtures/FakeInstance'
import { runWith } from '../../fixtures/runWith'

const accepted = { jobId: 'a1.x.7', state: 'running', tasks: 3, tasksEnded: 0 }
const whole = { jobId: 'a1.x.7', state: 'succeeded', outputs: [{ lodged: null }, 2] }

/** Takes the job, and gives the answers in turn to those who ask after it. */
function startFake(t: TestContext, answers: readonly FakeAnswer[]): Promise<FakeInstance> {
  const left = [...answers]
  return FakeInstance.start(t, ({ method }) => {
    if (method === 'POST') return { status: 202, body: accepted }
    return left.shift() ?? { status: 500, body: {} }
  })
}

describe('submit', () => {
  it('sends one task of a service, and prints the whole answer', async (t) => {
    const fake = await startFake(t, [{ status: 200, body: whole }])
    const flags = ['--service', 'tracing', '--payload', '007e1', '--caller', '12']
    const bad = await runWith(['submit', ...flags, '--url', fake.url])
    assert.equal(bad.exitCode, ExitCode.Usage, 'a number of JSON has no leading zeros')
    flags[3] = '{"runMs":50}'
    const deadline = ['--deadline-ms', '900', '--url', fake.url]
    const run = await runWith(['submit', ...flags, ...deadline])
    assert.equal(run.exitCode, ExitCode.Ok, run.err)
    assert.equal(run.out, 'a1.x.7  succeeded\n0  {"lodged":null}\n1  2')
    const [submission, question] = fake.seen
    const tasks = [{ service: 'tracing', payload: { runMs: 50 } }]
    assert.deepEqual(submission?.body, { idempotent: true, deadlineMs: 900, tasks })
    assert.equal(submission.headers['cherryhitch-caller'], '12')
    assert.equal(submission.headers['idempotency-key'], undefined)
    assert.equal(question?.path, '/v1/jobs/a1.x.7?wait=true')
  })

  it('keeps a key as typed', async (t) => {
    for (const key of ['007', '2026', '1e3', '0x10']) {
      const fake = await startFake(t, [{ status: 200, body: whole }])
      await runWith(['submit', '--service', 's', `--key=${key}`, '--url', fake.url])
      assert.equal(fake.seen[0]?.headers['idempotency-key'], key)
    }
  })

  it('asks again when the instance answers a waiting request before the end', async (t) => {
    const running = { status: 202, body: { ...accepted, tasksEnded: 1 } }
    const fake = await startFake(t, [running, running, { status: 200, body: whole }])
    const run = await runWith(['submit', '--service', 's', '--json', '--url', fake.url])
    assert.deepEqual(JSON.parse(run.out), whole)
    assert.equal(run.err, '')
  })

  it('shows a person each step once', async (t) => {
    const step = (tasksEnded: number) => ({ status: 202, body: { ...accepted, tasksEnded } })
    const fake = await startFake(t, [step(0), step(2), step(2), { status: 200, body: whole }])
    const argv = ['submit', '--service', 's', '--url', fake.url]
    const run = await runWith(argv, { isTerminal: true })
    assert.equal(run.err, 'a1.x.7: 0 of 3 tasks ended\na1.x.7: 2 of 3 tasks ended')
    assert.equal(fake.seen[1]?.path, '/v1/jobs/a1.x.7')
  })

  it('does not wait when it is told so', async (t) => {
    const fake = await startFake(t, [])
    const run = await runWith(['submit', '--service', 's', '--detach', '--url', fake.url])
    assert.equal(run.out, 'a1.x.7  running  0 of 3 tasks ended')
    assert.equal(fake.seen.length, 1)
  })

  it('says that a job may have run when nobody answers for it any more', async (t) => {
    const fake = await startFake(t, [{}])
    const run = await runWith(['submit', '--service', 's', '--url', fake.url])
    assert.equal(run.exitCode, ExitCode.Unknown)
    assert.match(run.err, /Ask again: cherryhitch job a1\.x\.7/)
  })

  it('fails with what the job came to', async (t) => {
    const problem = { title: 'A task failed.', detail: 'no such claim', ran: 'unknown' }
    const fake = await startFake(t, [{ status: 502, body: problem }])
    const run = await runWith(['submit', '--service', 's', '--url', fake.url])
    assert.equal(run.exitCode, ExitCode.Unknown)
    assert.match(run.err, /A task failed\. no such claim/)
  })
})

describe('job', () => {
  it('shows a job, or cancels it', async (t) => {
    const fake = await FakeInstance.start(t, ({ method }) => {
      if (method === 'GET') return { status: 202, body: accepted }
      return { status: 200, body: { jobId: 'a1.x.7', state: 'cancelled', ran: 'no' } }
    })
    const shown = await runWith(['job', 'a1.x.7', '--url', fake.url])
    assert.equal(shown.out, 'a1.x.7  running  0 of 3 tasks ended')
    const cancelled = await runWith(['job', 'a1.x.7', '--cancel', '--url', fake.url])
    assert.equal(cancelled.out, 'a1.x.7  cancelled')
    assert.equal(fake.seen[1]?.method, 'DELETE')
  })

  it('keeps an id as typed', async (t) => {
    const fake = await FakeInstance.start(t, () => ({ status: 200, body: whole }))
    await runWith(['job', '--cancel', '007', '--url', fake.url])
    assert.equal(fake.seen[0]?.path, '/v1/jobs/007')
  })
})
