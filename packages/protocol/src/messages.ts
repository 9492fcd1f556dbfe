export type * from './agent-messages.js';
export type * from './entry-messages.js';
export type * from './lease-messages.js';
export type * from './admission-messages.js';
export type * from './view-messages.js';
export type * from './configuration-messages.js';
export type * from './replica-messages.js';
