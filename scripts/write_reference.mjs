// Writes docs/SETTINGS.md, GATEWAY_SETTINGS.md and ERRORS.md from the schemas and tables.
// A test fails when they are not what this writes.
import {writeFileSync} from 'node:fs';
import {
  formatErrorPage,
  formatGatewaySettingsPage,
  formatSettingsPage,
} from '@irisdock/testkit';

writeFileSync('docs/SETTINGS.md', formatSettingsPage());
writeFileSync('docs/GATEWAY_SETTINGS.md', formatGatewaySettingsPage());
writeFileSync('docs/ERRORS.md', formatErrorPage());
