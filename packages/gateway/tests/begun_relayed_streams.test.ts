/**
 * Relayed streams that have begun when no other host takes them. They wait for
 * one as long as their time lasts, and are sent no more often than allowed.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ALL_IDS,
  pause,
  RelayHostStandin,
  runRelayedStream,
  sendDeclined,
  sendEvents,
  startEvents,
  streamToEnd,
  type ReceivedStream,
  type RelayOptions,
  type RelayScript,
} from './fixtures/relay_hosts.js';

/** How many events a host sends before it breaks off. */
const EVENTS_BEFORE = 2;
/** Longer than an earlier limit of the wait, in ms. */
const UNABLE_MS = 3000;
/** When the callers of streams that are not served give up, in ms. */
const CALLER_MS = 3000;

/** Relays a stream to a host that breaks off and then runs a script. */
async function sendBrokenStream(
  script: RelayScript,
  options: RelayOptions = {},
): Promise<ReceivedStream & {readonly sends: number}> {
  const host = new RelayHostStandin('other');
  await host.start();
  host.script = async (send) => {
    host.script = script;
    startEvents(send);
    await sendEvents(send, send.firstId, send.firstId + EVENTS_BEFORE);
    send.request.socket.resetAndDestroy();
  };
  const received = await runRelayedStream(() => [host], options);
  host.stop();
  return {...received, sends: host.sends.length};
}

/** Handles streams in one way for a while and then serves them. */
function serveAfter(ms: number, script: RelayScript): RelayScript {
  let isAble: Promise<boolean> | undefined;
  let isOver = false;
  return (send) => {
    isAble ??= pause(ms).then(() => (isOver = true));
    return isOver ? streamToEnd(send) : script(send);
  };
}

const sendRefused: RelayScript = ({response}) => {
  response.writeHead(503).end('{}');
};

const sendError: RelayScript = ({response}) => {
  response.writeHead(500).end('fault');
};

describe('a begun relayed stream', {concurrency: true}, () => {
  it('waits for a host that declines it for a while', async () => {
    const script = serveAfter(UNABLE_MS, sendDeclined);
    const {outcome, ids} = await sendBrokenStream(script);
    assert.equal(outcome, 'answered');
    assert.deepEqual(ids, ALL_IDS);
  });

  it('waits for a host that has no room for a while', async () => {
    const script = serveAfter(UNABLE_MS, sendRefused);
    const {outcome, ids} = await sendBrokenStream(script);
    assert.equal(outcome, 'answered');
    assert.deepEqual(ids, ALL_IDS);
  });

  it('waits for a host that appears after a while', async () => {
    const hosts: RelayHostStandin[] = [];
    const first = new RelayHostStandin('first');
    const second = new RelayHostStandin('second');
    await first.start();
    await second.start();
    hosts.push(first);
    first.script = async (send) => {
      hosts.pop();
      startEvents(send);
      await sendEvents(send, send.firstId, send.firstId + EVENTS_BEFORE);
      send.request.socket.resetAndDestroy();
      await pause(UNABLE_MS);
      hosts.push(second);
    };
    const {outcome, ids} = await runRelayedStream(() => hosts);
    first.stop();
    second.stop();
    assert.equal(outcome, 'answered');
    assert.deepEqual(ids, ALL_IDS);
  });

  // Guards against streams that are held when their time is over.
  it('ends with its time when its host declines it for ever', async () => {
    const options = {callerMs: CALLER_MS};
    const {outcome, ids} = await sendBrokenStream(sendDeclined, options);
    assert.equal(outcome, 'expired');
    assert.equal(ids.length, EVENTS_BEFORE);
  });

  // Guards against more sends than the retry budget allows.
  it('is sent to a full host as often as the budget allows', async () => {
    const options = {callerMs: CALLER_MS, retries: 3};
    const {outcome, sends} = await sendBrokenStream(sendRefused, options);
    assert.equal(outcome, 'expired');
    assert.equal(sends, 4);
  });

  // Guards against more runs than its route allows.
  it('is run by a failing host as often as its route allows', async () => {
    const options = {route: {maxAttempts: 3}};
    const {outcome, sends} = await sendBrokenStream(sendError, options);
    assert.equal(outcome, 'attempts_spent');
    assert.equal(sends, 3);
  });

  // Guards against streams that wait where the first host could move them.
  it('is given up soon by a host that it was relayed to', async () => {
    const {outcome} = await runRelayedStream(() => [], {isRelayed: true});
    assert.equal(outcome, 'no other host took the stream');
  });
});

describe('a relayed stream that has not begun', () => {
  it('is given up at once when no host takes it', async () => {
    const host = new RelayHostStandin('other');
    await host.start();
    host.script = sendDeclined;
    const {outcome} = await runRelayedStream(() => [host]);
    host.stop();
    assert.equal(outcome, 'no other host took the stream');
    assert.equal(host.sends.length, 1);
  });
});
