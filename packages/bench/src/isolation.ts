import {type Fault, noFault} from './proxy.js';
import type {Site} from './site.js';

/** Drops all bytes between a process and the others; the sockets stay open. */
export function dropTraffic(site: Site, name: string): void {
  injectOnAllLinks(site, name, {kind: 'swallow', way: 'both'});
}

/** Ends the isolation. Connections that lost bytes stay silent. */
export function restoreTraffic(site: Site, name: string): void {
  injectOnAllLinks(site, name, noFault);
}

function injectOnAllLinks(site: Site, name: string, fault: Fault): void {
  for (const member of site.members) {
    if (member.name === name) member.proxy?.inject(fault);
    else member.proxy?.inject(fault, name);
  }
}
