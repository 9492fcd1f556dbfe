/** The tables of a settings file that concern one process. The others are the configuration. */
export const processTables: readonly string[] = [
  'process',
  'leases',
  'metrics',
  'entry',
  'agent',
  'control',
];
