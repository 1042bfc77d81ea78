#!/usr/bin/env node
import {runDaemon} from '@irisdock/daemon';

await runDaemon(process.argv.slice(2), process.env);
