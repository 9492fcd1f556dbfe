import {type DestinationStream, type Logger, pino} from 'pino';

export type {Logger};

/** Makes a logger of JSON lines on standard error, each with the process's role and id. */
export function openLog(
  level: string,
  role: string,
  id: string,
  destination: DestinationStream = openStandardError(),
): Logger {
  return pino(
    {level, base: {role, id}, timestamp: pino.stdTimeFunctions.isoTime},
    destination,
  );
}

/** A log that nobody reads any more must not stop the process. */
function openStandardError(): DestinationStream {
  return pino.destination({dest: 2, sync: true}).on('error', () => {});
}
