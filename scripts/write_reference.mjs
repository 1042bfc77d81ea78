// Writes docs/SETTINGS.md and docs/ERRORS.md from the schemas and tables.
// A test fails when they are not what this writes.
import {writeFileSync} from 'node:fs';
import {formatErrorPage, formatSettingsPage} from '@irisdock/testkit';

writeFileSync('docs/SETTINGS.md', formatSettingsPage());
writeFileSync('docs/ERRORS.md', formatErrorPage());
