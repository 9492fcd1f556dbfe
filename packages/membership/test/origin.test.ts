import test from 'ava';
import type {ApplyConfigParams} from '#protocol';
import {
  applyChange,
  type ConfigurationState,
  createConfiguration,
} from '../src/configure.js';

const homes = {stated: false, teams: []};

function buildChange(version: number, text = ''): ApplyConfigParams {
  const document = `document ${version} ${text}`;
  return {
    changeId: document,
    expectedVersion: 0,
    author: 'operator',
    source: {base: '', overlays: {}, origin: {version, document}},
  };
}

function apply(state: ConfigurationState, change: ApplyConfigParams) {
  return applyChange(state, change, homes, 1).result;
}

test('the highest origin version is in force, in whatever order documents arrive', t => {
  const state = createConfiguration();
  t.deepEqual(apply(state, buildChange(7)), {kind: 'accepted', version: 1});
  t.deepEqual(apply(state, buildChange(5)), {kind: 'overtaken', version: 1});
  t.deepEqual(apply(state, buildChange(9)), {kind: 'accepted', version: 2});
  t.is(state.current.source.origin?.version, 9);
});

test('other content under the current origin version changes nothing', t => {
  const state = createConfiguration();
  apply(state, buildChange(7));
  t.is(apply(state, buildChange(7, 'other')).kind, 'overtaken');
  t.is(state.current.source.origin?.document, 'document 7 ');
});

test('a retry of an accepted document gets its first answer', t => {
  const state = createConfiguration();
  const first = apply(state, buildChange(7));
  apply(state, buildChange(8));
  t.deepEqual(apply(state, buildChange(7)), first);
  t.is(state.current.source.origin?.version, 8);
});
