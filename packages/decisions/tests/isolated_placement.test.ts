/** Where streams run that are suspected of crashing engines. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HostPosition, RegionMap} from '@irisdock/decisions';
import type {EngineRequest, EngineView} from '../src/engine_placement.js';
import {chooseIsolatedEngine} from '../src/isolated_placement.js';

const CONTENT_COUNT = 200;

function createEngine(
  instanceId: string,
  streams: number,
  failureDomain = 'zone-a',
): EngineView {
  return {
    instanceId,
    failureDomain,
    slots: 8,
    memoryTokens: 1000,
    streams,
    unreadTokens: 0,
    expectedTokens: 0,
    failureScore: 0,
  };
}

function createRequest(excluded: readonly string[] = []): EngineRequest {
  return {
    expectedTokens: 10,
    promptTokens: 5,
    excluded: new Set(excluded),
    avoidedDomains: new Set(),
    promptKey: '',
    keptTokens: new Map(),
  };
}

/** Places suspects of many contents; returns the engines that were chosen. */
function listChosen(
  engines: readonly EngineView[],
  request = createRequest(),
): string[] {
  const chosen = new Set<string>();
  for (let content = 0; content < CONTENT_COUNT; content++) {
    const engine = chooseIsolatedEngine(engines, request, `content ${content}`);
    if (engine !== undefined) chosen.add(engine.instanceId);
  }
  return [...chosen].sort();
}

describe('a suspected stream', () => {
  // Guards against sound streams that are lost with the engine of a suspect
  // while other engines are idle.
  it('runs on an idle engine if half of those with few streams are', () => {
    const engines = ['a', 'b', 'c', 'd', 'e'].map((name, place) =>
      createEngine(name, place < 3 ? 0 : 1),
    );
    assert.deepEqual(listChosen(engines), ['a', 'b', 'c']);
  });

  // Guards against sound streams that are lost with the engine of a suspect in
  // a fleet that has lost most of its idle engines.
  it('runs on an idle engine if two of five are', () => {
    const engines = ['a', 'b', 'c', 'd', 'e'].map((name, place) =>
      createEngine(name, place < 2 ? 0 : 1),
    );
    assert.deepEqual(listChosen(engines), ['a', 'b']);
  });

  // Guards against two suspects on one engine, whose crash then counts in full
  // against one of them at most.
  it('does not join a stream that has claimed all slots of its engine', () => {
    const engines = ['a', 'b', 'c'].map((name, place) =>
      createEngine(name, place === 0 ? 8 : 2),
    );
    assert.deepEqual(listChosen(engines), ['b', 'c']);
  });

  it('joins one if all slots of all engines are claimed', () => {
    const engines = ['a', 'b'].map((name) => createEngine(name, 8));
    assert.deepEqual(listChosen(engines), ['a', 'b']);
  });

  // Guards against suspects that meet on the only idle engine.
  it('does not choose the only idle engine with all others', () => {
    const engines = Array.from({length: 20}, (_, place) =>
      createEngine(String.fromCharCode(97 + place), place),
    );
    assert.deepEqual(listChosen(engines), ['a', 'b', 'c', 'd', 'e']);
  });

  it('runs on one of those with few streams if none is idle', () => {
    const engines = Array.from({length: 20}, (_, place) =>
      createEngine(String.fromCharCode(97 + place), place + 1),
    );
    assert.deepEqual(listChosen(engines), ['a', 'b', 'c', 'd', 'e']);
  });

  it('does not return to an engine that is excluded', () => {
    const engines = [createEngine('a', 0), createEngine('b', 3)];
    assert.deepEqual(listChosen(engines, createRequest(['a'])), ['b']);
  });

  // Guards against suspects of one region that end engines of the others, and
  // against suspects that meet on the few engines of a small region.
  it('runs in its region if that has five engines with room', () => {
    const regions = new RegionMap(
      new Map([
        ['zone-a', 'near'],
        ['zone-b', 'far'],
      ]),
    );
    const position = new HostPosition('zone-a', regions);
    const request = {...createRequest(), position};
    const far = ['v', 'w', 'x', 'y', 'z'].map((name) =>
      createEngine(name, 0, 'zone-b'),
    );
    const near = ['a', 'b', 'c', 'd', 'e'].map((name) => createEngine(name, 1));
    const names = near.map(({instanceId}) => instanceId);
    assert.deepEqual(listChosen([...near, ...far], request), names);
    const few = [...near.slice(1), createEngine('a', 8), ...far];
    assert.deepEqual(listChosen(few, request), ['v', 'w', 'x', 'y', 'z']);
  });
});
