import type {ControlStatus} from '#protocol';
import {renderTable} from './table.js';

/** Renders the members of a group; only the leader knows how far they are and when they were heard from. */
export function renderMembers({members, role}: ControlStatus): string {
  const rows = members.map(each => [
    each.member,
    each.address,
    each.voter ? 'voter' : 'learner',
    role === 'leader' ? each.matchIndex : '-',
    each.silentMs === undefined ? '-' : (each.silentMs / 1000).toFixed(1),
  ]);
  return renderTable(['MEMBER', 'ADDRESS', 'KIND', 'MATCH', 'SILENT S'], rows);
}
