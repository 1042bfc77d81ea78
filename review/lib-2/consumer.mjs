/** A stand-in of consumers: they learn addresses and send requests. */
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {fetchPage} from './deployment.mjs';

const CONNECT_MS = 1000;

/** Sends requests to the hosts that the directory names. */
export class Consumers {
  /** One entry an attempt: when it was sent and what came of it. */
  attempts = [];
  addresses = [];
  expiresAt = -Infinity;
  asking;

  constructor(deployment, hostName, zone) {
    this.deployment = deployment;
    this.hostName = hostName;
    this.zone = zone;
  }

  /**
   * Sends a request, and again as the kind of its route allows.
   *
   * @param call method, path, kind, budgetMs, retries, key, body, headers
   */
  async send(call) {
    const until = performance.now() + call.budgetMs;
    for (let retry = 0; ; retry++) {
      const leftMs = until - performance.now();
      const attempt = await this.#sendOnce(call, leftMs);
      const again = decideRetry(call, attempt, until - performance.now());
      if (again === undefined || retry >= call.retries) return attempt;
      await wait(again);
      if (until - performance.now() <= 0) return attempt;
    }
  }

  async #findAddresses() {
    if (performance.now() < this.expiresAt) return this.addresses;
    this.asking ??= this.#ask().finally(() => (this.asking = undefined));
    await this.asking;
    return this.addresses;
  }

  async #ask() {
    const hosts = [...this.deployment.hosts].sort(() => Math.random() - 0.5);
    const query = `name=${this.hostName}&region=region-a&zone=${this.zone}`;
    for (const {ip, ports} of hosts.slice(0, 3)) {
      const url = `http://${ip}:${ports.directory}/-/resolution?${query}`;
      const {status, body} = await fetchPage(url);
      if (status !== 200) continue;
      const {addresses, ttl_s: ttl} = JSON.parse(body);
      this.addresses = addresses;
      this.expiresAt = performance.now() + Math.min(5, ttl) * 1000;
      return;
    }
  }

  async #sendOnce(call, leftMs) {
    const addresses = await this.#findAddresses();
    const address = addresses[Math.floor(Math.random() * addresses.length)];
    const id = randomBytes(8).toString('hex');
    const attempt = {
      id,
      address,
      label: call.label,
      sentAt: this.deployment.now,
      status: 0,
      detail: '',
      isWhole: false,
    };
    this.attempts.push(attempt);
    if (address === undefined) {
      attempt.detail = 'no address';
      return attempt;
    }
    this.deployment.write(
      `${id} ${call.method} ${call.path} sent to ${address}`,
    );
    await exchange(call, attempt, this.hostName, leftMs);
    attempt.endedAt = this.deployment.now;
    const end = attempt.isWhole ? 'whole' : `not whole (${attempt.detail})`;
    this.deployment.write(
      `${id} got ${attempt.status}, ${end}, ${attempt.body?.slice(0, 160)}`,
    );
    return attempt;
  }
}

/** Tells how long to wait before a request is sent again, if it may be. */
function decideRetry({kind}, {status, isWhole, retryAfter}, leftMs) {
  const isServed = status >= 200 && status < 300 && isWhole;
  if (isServed || [400, 401, 404, 413, 431].includes(status)) return undefined;
  const isPromise = [408, 421, 429, 503].includes(status);
  if (kind !== 'safe' && !isPromise) return undefined;
  return Math.min(retryAfter ?? 50, leftMs / 3);
}

/** Runs one exchange on a new channel. */
function exchange(call, attempt, hostName, leftMs) {
  const [host, port] = attempt.address.split(':');
  return new Promise((resolve) => {
    const finish = (detail) => {
      attempt.detail ||= detail;
      resolve();
    };
    const outgoing = request({
      host,
      port,
      method: call.method,
      path: call.path,
      agent: false,
      headers: {
        Host: hostName,
        'X-Irisdock-Attempt-Id': attempt.id,
        'X-Irisdock-Deadline-Remaining': Math.round(leftMs),
        ...(call.key === undefined ? {} : {'X-Irisdock-Key': call.key}),
        ...(call.body === undefined
          ? {}
          : {'Content-Length': call.body.length}),
        ...call.headers,
      },
    });
    const budget = wait(Math.max(1, leftMs)).then(() => {
      outgoing.destroy(new Error('the time budget is over'));
    });
    void budget;
    outgoing.once('socket', (socket) => {
      socket.setTimeout(CONNECT_MS, () => {
        if (socket.connecting) outgoing.destroy(new Error('no channel'));
      });
    });
    outgoing.on('error', (error) => finish(error.message));
    outgoing.on('response', (response) => {
      attempt.status = response.statusCode;
      attempt.seal = response.headers['x-irisdock-server-seal'];
      const {'retry-after': retryAfter} = response.headers;
      if (retryAfter !== undefined) {
        attempt.retryAfter = Number(retryAfter) * 1000;
      }
      attempt.body = '';
      response.setEncoding('utf8');
      response.on('data', (part) => (attempt.body += part));
      response.on('error', (error) => finish(error.message));
      response.on('close', () => {
        attempt.isWhole = response.complete;
        finish(response.complete ? '' : 'the channel ended');
      });
    });
    outgoing.end(call.body);
  });
}
