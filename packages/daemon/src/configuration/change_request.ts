/** A change of configuration that somebody asks for. */
import type {Change, KindName} from '@irisdock/resources';

/** What is asked for. */
export interface ChangeRequest {
  readonly operationId: string;
  readonly actor: string;
  readonly action: Change['action'];
  readonly kind: KindName;
  readonly name: string;
  /** The spec to put, checked against its kind; null for a delete. */
  readonly spec: unknown;
  /** The version it must be at; 0 for absent; undefined for any. */
  readonly expectedVersion: number | undefined;
}
