#!/usr/bin/env node
import {runCommandLine} from '@irisdock/cli';

process.exitCode = await runCommandLine(process.argv.slice(2), process.env);
