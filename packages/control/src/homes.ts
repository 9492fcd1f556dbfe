import type {ConfigurationSource, RegionName} from '#model';
import type {Homes} from '#protocol';
import {parseConfiguration} from '#settings';

/**
 * Tells where a configuration's teams have their jobs admitted: as it states when it has regions,
 * otherwise by the group of this region. The texts were checked before.
 */
export function describeHomes(
  source: ConfigurationSource,
  own: RegionName,
): Homes {
  const configuration = parseConfiguration({...source, overlays: {}}, '');
  return configuration
    .map(({regions, teams}) => {
      const stated = regions.length > 0;
      return {
        stated,
        teams: teams.map(({name: team, homeRegion = own}) => ({
          team,
          region: stated ? homeRegion : own,
        })),
      };
    })
    .orDefault({stated: false, teams: []});
}
