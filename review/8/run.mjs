/**
 * The operator adds a route and a tenant, whose name has a letter beyond Latin-1.
 * Are the requests of that tenant served on the new route? NAME names another.
 */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Consumers} from '../lib-2/consumer.mjs';
import {Deployment} from '../lib-2/deployment.mjs';
import {
  BOUNDS,
  createConfiguration,
  createTranscript,
  HOST_NAME,
  sendSteadily,
  startServers,
  ZONES,
} from '../lib-2/sample.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const NAME = process.env.NAME ?? 'Primorsko-goranska županija';
const NEW_KEY = 'q7xd2mmk0v4hzr81twcy';
/** The time from the acknowledgement to the first request on the route, in ms. */
const CALM_MS = 8000;

/** Creates the configuration with one more route and one more tenant. */
function createGrown() {
  const before = createConfiguration(7);
  const transcripts = before.routes.find(({name}) => name === 'transcripts');
  const ledgers = {...transcripts, name: 'ledgers', path_prefix: '/ledgers/'};
  const tenant = {name: NAME, api_keys: [NEW_KEY], priority: 1};
  return {
    ...before,
    version: 9,
    routes: [...before.routes, ledgers],
    tenants: [...before.tenants, tenant],
  };
}

/** Creates a call of the new tenant on the new route. */
function createLedger(number) {
  const call = createTranscript(number);
  return {...call, label: 'ledger', path: `/ledgers/${number}`, key: NEW_KEY};
}

function describe(label, attempts) {
  const served = attempts.filter(({status, isWhole}) => {
    return status === 200 && isWhole;
  });
  const share = attempts.length === 0 ? 1 : served.length / attempts.length;
  const statuses = [...new Set(attempts.map(({status}) => status))].join(', ');
  const text = `${label}: ${attempts.length} requests, ${share.toFixed(3)} served (statuses ${statuses || 'none'})`;
  return {share, text, count: attempts.length};
}

async function play(deployment) {
  await deployment.start(3, ZONES, BOUNDS);
  deployment.configure(createConfiguration(7));
  await startServers(deployment);
  await deployment.waitReady();
  const consumers = new Consumers(deployment, HOST_NAME, ZONES[0]);
  const endS = deployment.now + 26;
  const first = sendSteadily(consumers, 20, endS, createTranscript);
  await wait(3000);
  if (HAS_TROUBLE) deployment.configure(createGrown());
  await wait(CALM_MS);
  if (HAS_TROUBLE) await sendSteadily(consumers, 10, endS - 2, createLedger);
  await first;
  const {attempts} = consumers;
  const onFirst = describe(
    'on the first routes',
    attempts.filter(({label}) => label === 'transcript'),
  );
  const onAdded = describe(
    'on the added route',
    attempts.filter(({label}) => label === 'ledger'),
  );
  const isBroken = onAdded.count >= 20 && onAdded.share < onFirst.share / 4;
  const verdict = isBroken ? 'CONFIG is broken' : 'CONFIG holds';
  for (const line of [onFirst.text, onAdded.text, verdict]) {
    deployment.write(line);
    process.stdout.write(`${line}\n`);
  }
  return isBroken ? 1 : 0;
}

const record = fileURLToPath(new URL('record.txt', import.meta.url));
const deployment = new Deployment(record);
let code = 2;
try {
  code = await play(deployment);
} catch (error) {
  process.stdout.write(`the case could not run: ${error.stack}\n`);
} finally {
  await deployment.stop();
}
process.exit(code);
