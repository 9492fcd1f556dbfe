import type {ConfigurationSource, RegionName} from '#model';
import type {TeamHomes} from '#protocol';
import {parseConfiguration} from '#settings';

/**
 * Derives the home region of each team, where its jobs are admitted: the stated one if the
 * configuration has regions, otherwise the group's own region. The source must have been validated.
 */
export function deriveHomes(
  source: ConfigurationSource,
  ownRegion: RegionName,
): TeamHomes {
  const configuration = parseConfiguration({...source, overlays: {}}, '');
  return configuration
    .map(({regions, teams}) => {
      const stated = regions.length > 0;
      return {
        stated,
        teams: teams.map(({name: team, homeRegion = ownRegion}) => ({
          team,
          region: stated ? homeRegion : ownRegion,
        })),
      };
    })
    .orDefault({stated: false, teams: []});
}
