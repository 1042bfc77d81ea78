/** The settings for lost failure domains, where they are not given. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  OUTAGE_SETTINGS,
  resolveOutageSettings,
  type OutageValues,
} from '../src/services/outage_settings.js';

const NONE: OutageValues = {
  retryLenders: 0,
  lateRefusalTargets: 0,
  unreachableRetries: 'counted',
};
const ALL: OutageValues = {
  retryLenders: 56,
  lateRefusalTargets: 1.25,
  unreachableRetries: 'free',
};

/** Formats values as a settings file gives them. */
function formatValues(values: OutageValues): Record<string, string> {
  const entries = Object.entries(values);
  return Object.fromEntries(entries.map(([key, value]) => [key, `${value}`]));
}

describe('the settings for lost failure domains', () => {
  // Guards against refusals and datagrams that nothing asked for, and against
  // a deployment of several regions without what it needs.
  it('follow the number of regions where they are not given', () => {
    const settings = OUTAGE_SETTINGS.parse({});
    assert.deepEqual(resolveOutageSettings(settings, false), NONE);
    assert.deepEqual(resolveOutageSettings(settings, true), ALL);
  });

  // Guards against a default that replaces what an operator set.
  it('are as given, whatever the number of regions', () => {
    for (const values of [NONE, ALL]) {
      const settings = OUTAGE_SETTINGS.parse(formatValues(values));
      for (const hasSeveral of [false, true]) {
        assert.deepEqual(resolveOutageSettings(settings, hasSeveral), values);
      }
    }
  });

  it('are refused if they are no number', () => {
    const {error} = OUTAGE_SETTINGS.safeParse({retryLenders: 'many'});
    const [issue] = error?.issues ?? [];
    assert.deepEqual(issue?.path, ['retryLenders']);
    assert.match(issue.message, /or auto/u);
  });
});
