/** Which log lines are about a request. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseRequestLines} from '@irisdock/cli';

function createLine(
  request: string,
  time: number,
  message: string,
  more: Readonly<Record<string, string>> = {},
): string {
  const context = {part: 'front', request, logLevel: 30, sends: 2, ...more};
  return JSON.stringify({context, message, time, version: '2.0.0'});
}

describe('the log lines of a request', () => {
  it('are of the host that they name', () => {
    const context = {part: 'front', host: 'host-3', request: 'r1'};
    const line = JSON.stringify({context, message: 'm', time: 1});
    const [found] = parseRequestLines(`collector: ${line}`, 'r1', 'a.log');
    assert.deepEqual(found, {
      source: 'host-3',
      time: 1,
      message: 'm',
      fields: {},
    });
  });

  it('include those of attempts that resume it, which they name', () => {
    const more = {resumes: 'r1', source: 'stored', softwareVersion: 'v1'};
    const text = createLine('r2', 7, 'front: Looked up the version.', more);
    const [found] = parseRequestLines(text, 'r1', 'a.log');
    assert.deepEqual(found?.fields, {request: 'r2', sends: 2, ...more});
    const [own] = parseRequestLines(text, 'r2', 'a.log');
    assert.deepEqual(own?.fields, {sends: 2, ...more});
  });

  it('are those that name it, with the host before them or their file', () => {
    const text = [
      createLine('r1', 5, 'front: A request ended.'),
      `host-2 | ${createLine('r1', 3, 'front: A stream goes on.')}`,
      createLine('r11', 4, 'front: A request ended.'),
      '{"message":"front: cut r1',
      'r1 without a line',
      '',
    ].join('\n');
    assert.deepEqual(parseRequestLines(text, 'r1', 'a.log'), [
      {
        source: 'a.log',
        time: 5,
        message: 'front: A request ended.',
        fields: {sends: 2},
      },
      {
        source: 'host-2 |',
        time: 3,
        message: 'front: A stream goes on.',
        fields: {sends: 2},
      },
    ]);
  });
});
