/** The forms of a request's target. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {parseRequestTarget} from '../src/channels/request_target.js';

describe('the target of a request', () => {
  // Guards against a path that reaches endpoints changed.
  it('is a path that stays as it was sent', () => {
    const path = fc.webPath().map((text) => `/${text}`);
    fc.assert(
      fc.property(path, (text) => {
        const target = {path: text, host: undefined};
        assert.deepEqual(parseRequestTarget(text), target);
        const {host, path: rest} = parseRequestTarget(`http://a.b:1${text}`);
        assert.deepEqual([host, rest], ['a.b:1', text]);
      }),
    );
  });

  it('has a path even if an absolute form names none', () => {
    const rows = [
      ['http://a.b', '/'],
      ['https://a.b?x=/1', '/?x=/1'],
      ['HTTP://a.b/?', '/?'],
    ];
    for (const [text = '', path] of rows) {
      assert.deepEqual(parseRequestTarget(text), {path, host: 'a.b'});
    }
  });

  it('is no absolute form without a host', () => {
    for (const path of ['*', 'http:///x', '/http://a.b/', 'ftp://a.b/']) {
      assert.deepEqual(parseRequestTarget(path), {path, host: undefined});
    }
  });
});
