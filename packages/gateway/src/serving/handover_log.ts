/** Writes the log lines of the handover of a stream. */
import {getErrorText, type Logger} from '@irisdock/kernel';
import type {AttemptPlan, AttemptResult} from './stream_attempt.js';
import type {Silence} from './silence_detector.js';
import {getSoftwareVersion} from './version_binding.js';

/** Where lines are written, and for which request. */
interface HandoverLogParts {
  readonly serving: {readonly log: Logger};
  readonly request: {readonly requestId: string};
}

/** An attempt that is left. */
interface LeftAttempt {
  readonly run: {readonly plan: Pick<AttemptPlan, 'endpoint'>};
  readonly silence: Silence;
  /** Undefined if its engine is only silent. */
  readonly endsAt: number | undefined;
}

/** Logs that a stream leaves an engine for another one, or a host. */
export function writeLeave(
  {serving, request}: HandoverLogParts,
  {run, silence, endsAt}: LeftAttempt,
  successor: string,
): void {
  const message =
    endsAt === undefined
      ? 'A stream leaves a silent engine.'
      : 'A stream leaves an engine that ends soon.';
  serving.log.writeInfo(message, {
    request: request.requestId,
    endpoint: run.plan.endpoint.instanceId,
    to: successor,
    detail: silence.detail,
  });
}

/** Logs that the first event bound a stream to another version than this one. */
export function writeOtherVersion(
  {serving, request}: HandoverLogParts,
  {endpoint}: Pick<AttemptPlan, 'endpoint'>,
): void {
  serving.log.writeInfo('Closing the next attempt: another software version.', {
    request: request.requestId,
    endpoint: endpoint.instanceId,
    softwareVersion: getSoftwareVersion(endpoint),
  });
}

/** Logs that an attempt beside another one was closed. */
export function writeUnused(
  {serving, request}: HandoverLogParts,
  {endpoint}: Pick<AttemptPlan, 'endpoint'>,
  {kind}: AttemptResult,
): void {
  serving.log.writeInfo('A silent engine went on before the next one did.', {
    request: request.requestId,
    unused: endpoint.instanceId,
    result: kind,
  });
}

/** Logs an error in the search for the next engine. */
export function writeSearchFailure(
  {serving, request}: HandoverLogParts,
  thrown: unknown,
): void {
  serving.log.writeError('The search for the next engine failed.', {
    request: request.requestId,
    error: getErrorText(thrown),
  });
}
