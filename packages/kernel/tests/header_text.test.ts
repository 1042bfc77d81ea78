/** Texts as values of header lines. */
import assert from 'node:assert/strict';
import {createServer, get} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  decodeHeaderText,
  encodeHeaderText,
  isHeaderText,
} from '@irisdock/kernel';

const RUNS = {numRuns: 300, seed: 20_261_209};
/** Any text, with characters that headers cannot carry among them. */
const TEXTS = fc.oneof(
  fc.string({unit: 'binary'}),
  fc.string({unit: fc.constantFrom('a', ' ', '\t', '\n', '\0', 'é', '\ud83c')}),
);

// Guards against texts that Node cannot send, or that arrive as other texts.
describe('a text as the value of a header', () => {
  it('arrives unchanged over HTTP, or is known not to', async () => {
    const server = createServer((request, response) => {
      response.end(decodeHeaderText(String(request.headers['x-text'])));
    });
    await new Promise<void>((resolve) => server.listen(0, resolve));
    const {port} = server.address() as AddressInfo;
    const send = (text: string): Promise<string> =>
      new Promise((resolve, reject) => {
        const headers = {'X-Text': encodeHeaderText(text)};
        const call = get({port, headers}, (response) => {
          let body = '';
          response.setEncoding('utf8');
          response.on('data', (part: string) => (body += part));
          response.on('end', () => {
            resolve(body);
          });
        });
        call.on('error', reject);
      });
    try {
      await fc.assert(
        fc.asyncProperty(TEXTS, async (text) => {
          const arrived = await send(text).catch(() => undefined);
          assert.equal(arrived === text, isHeaderText(text));
        }),
        RUNS,
      );
    } finally {
      server.closeAllConnections();
      server.close();
    }
  });

  it('is left as it is if it is not UTF-8', () => {
    assert.equal(decodeHeaderText('caf\u00e9'), 'caf\u00e9');
  });
});
