import type {RegionName, TeamName} from '#model';
import type {TeamHomes} from '#protocol';

/** All home regions that were ever in force, including those of removed teams. */
export interface HomeTable {
  /** True once a configuration with regions has been in force. */
  hasRegions: boolean;
  readonly regions: Map<TeamName, RegionName>;
}

/** Creates a table without home regions. */
export function createHomes(): HomeTable {
  return {hasRegions: false, regions: new Map()};
}

/** Lists the errors in a change's home regions: a team's home never changes, so that each key is admitted in one region only. */
export function validateHomes(
  table: HomeTable,
  change: TeamHomes,
): readonly string[] {
  if (!change.stated) {
    return table.hasRegions
      ? ['the configuration states no regions; once in force they stay']
      : [];
  }
  return change.teams.flatMap(({team, region}) => {
    const home = table.regions.get(team) ?? region;
    if (home === region) return [];
    return `team "${team}" has the home region "${region}", expected "${home}": a home in force never changes, also when the team was removed`;
  });
}

/** Records the home regions of a configuration in force. A home that is already known does not change. */
export function recordHomes(table: HomeTable, homes: TeamHomes): void {
  table.hasRegions ||= homes.stated;
  for (const {team, region} of homes.teams) {
    if (!table.regions.has(team)) table.regions.set(team, region);
  }
}

/** Lists all known home regions. */
export function listHomes({hasRegions: stated, regions}: HomeTable): TeamHomes {
  const teams = [...regions].map(([team, region]) => ({team, region}));
  return {stated, teams};
}
