/** `irisdock hosts`: the hosts of a deployment as one gateway knows them. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import type {HostEntry} from '../api_client.js';
import {createCommand} from '../command.js';

const COLUMNS = [
  'HOST',
  'DOMAIN',
  'STANDING',
  'STATE',
  'STORE',
  'ROLE',
  'CONFIGURATION',
  'HEARD',
];
/** Shown if any host has a region or tells its capacity. */
const PLACE_COLUMNS = ['REGION', 'CORES', 'MBIT/S', 'MB'];
/** Shown if no header can give the names of some teams to endpoints. */
const TEAM_COLUMNS = ['REFUSED TEAM'];
const WORDS = z.tuple([], 'give no words');
const ABSENT = '-';

/** The command. */
export const HOSTS_COMMAND = createCommand({
  name: 'hosts',
  usage: '',
  description: 'Lists the hosts as one gateway knows them, faults first.',
  options: [],
  schema: z.object({words: WORDS, options: z.object({})}),
  async run({client, output}) {
    const list = await client.listHosts();
    if (list.isErr()) return err(list.error);
    const {hosts, unusableTeams} = list.value;
    const hasPlaces = hosts.some(({region, capacity}) => region ?? capacity);
    const columns = hasPlaces ? [...COLUMNS, ...PLACE_COLUMNS] : COLUMNS;
    const rows = hosts.map((host) => [
      host.name,
      host.failureDomain,
      host.standing,
      host.state,
      host.isStoreAway ? 'away' : 'answers',
      host.role,
      String(host.configuration ?? ABSENT),
      host.heardSecondsAgo === null ? ABSENT : `${host.heardSecondsAgo} s ago`,
      ...(hasPlaces ? formatPlace(host) : []),
    ]);
    const teams = unusableTeams.map((team) => [JSON.stringify(team)]);
    output.printTables(list.value, [
      {columns, rows},
      ...(teams.length === 0 ? [] : [{columns: TEAM_COLUMNS, rows: teams}]),
    ]);
    return ok();
  },
});

function formatPlace({region, capacity}: HostEntry): string[] {
  return [
    region ?? ABSENT,
    formatFigure(capacity?.cores),
    formatFigure(capacity?.linkMbps),
    formatFigure(capacity?.memoryMb),
  ];
}

/** Hosts tell 0 for what they do not know. */
function formatFigure(figure = 0): string {
  return figure === 0 ? ABSENT : String(Number(figure.toFixed(3)));
}
