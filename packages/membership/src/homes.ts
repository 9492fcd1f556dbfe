import type {RegionName, TeamName} from '#model';
import type {Homes} from '#protocol';

/** The homes that were ever in force, those of removed teams included. */
export interface HomeTable {
  /** A configuration with regions was in force. */
  divided: boolean;
  readonly regions: Map<TeamName, RegionName>;
}

/** No team has a home yet. */
export function createHomes(): HomeTable {
  return {divided: false, regions: new Map()};
}

/** Lists what is wrong with a change's homes: a home in force never changes, so that a key is admitted in one region. */
export function judgeHomes(table: HomeTable, change: Homes): readonly string[] {
  if (!change.stated) {
    return table.divided
      ? ['the configuration states no regions; once in force they stay']
      : [];
  }
  return change.teams.flatMap(({team, region}) => {
    const home = table.regions.get(team) ?? region;
    if (home === region) return [];
    return `team "${team}" has the home region "${region}", expected "${home}": a home in force never changes, also when the team was removed`;
  });
}

/** Remembers the homes of a configuration in force. A home that is known stays. */
export function rememberHomes(table: HomeTable, homes: Homes): void {
  table.divided ||= homes.stated;
  for (const {team, region} of homes.teams) {
    if (!table.regions.has(team)) table.regions.set(team, region);
  }
}

/** Lists the homes that are known. */
export function listHomes({divided, regions}: HomeTable): Homes {
  const teams = [...regions].map(([team, region]) => ({team, region}));
  return {stated: divided, teams};
}
