import {type Fault, noFault} from './proxy.js';
import type {Site} from './site.js';

/** Cuts a process off from all others silently: sockets stay open and what is sent is lost. */
export function cutOff(site: Site, name: string): void {
  injectAround(site, name, {kind: 'swallow', way: 'both'});
}

/** Ends the isolation; connections that lost bytes stay silent. */
export function reconnect(site: Site, name: string): void {
  injectAround(site, name, noFault);
}

function injectAround(site: Site, name: string, fault: Fault): void {
  for (const member of site.members) {
    if (member.name === name) member.proxy?.inject(fault);
    else member.proxy?.inject(fault, name);
  }
}
