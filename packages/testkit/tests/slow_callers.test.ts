/**
 * A host that leaves while a caller still reads its answer.
 *
 * Guards against an answer that is cut because the host took the call as ended
 * once its endpoint had begun to answer.
 */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitPlace} from '@irisdock/kernel';
import {createDeployment, NAMES, type Deployment} from '@irisdock/testkit';

/** A body that its echo doubles, as each character is escaped. */
const BODY = '"'.repeat(3_500_000);
/** More than it takes to call the endpoint, in ms. */
const ANSWER_MS = 1500;
/** More than the host serves on at its address once it leaves, in ms. */
const LINGER_MS = 2500;

function formatCall(): string {
  const lines = [
    `POST /s/${NAMES.plain}/long HTTP/1.1`,
    'Host: t',
    `X-Irisdock-Team: ${NAMES.team}`,
    `Content-Length: ${BODY.length}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${BODY}`;
}

describe('a host that leaves', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      daemons: 1,
      engines: 0,
      plains: 1,
      daemonArgs: ['--callers-keep-address-seconds', '0.2'],
    });
  });
  after(async () => {
    await deployment.stop();
  });

  it('waits until a slow caller has taken its whole answer', async () => {
    const host = deployment.getDaemon(0);
    const socket = connect(splitPlace(host.places.caller));
    const parts: Buffer[] = [];
    socket.on('error', () => undefined);
    socket.on('data', (part) => parts.push(part));
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.pause();
    socket.write(formatCall());
    await sleep(ANSWER_MS);
    host.process.sendSignal('SIGTERM');
    await sleep(LINGER_MS);
    socket.resume();
    await closed;
    const text = Buffer.concat(parts).toString('latin1');
    assert.match(text, /^HTTP\/1\.1 200 /u);
    assert.ok(text.length > 2 * BODY.length, `cut after ${text.length} bytes`);
    const exit = await host.process.exited;
    assert.equal(exit.code, 0);
  });
});
