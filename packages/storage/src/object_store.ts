/** The platform's object store, as the system uses it. */
import type {Result} from 'neverthrow';
import type {PlatformError} from './table_service.js';

/** The object store. */
export interface ObjectStore {
  /** Gives an object's text; undefined when there is none. */
  getObject(name: string): Promise<Result<string | undefined, PlatformError>>;
  /** Writes an object whole. */
  putObject(name: string, text: string): Promise<Result<void, PlatformError>>;
}
