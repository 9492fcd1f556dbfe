import {type DestinationStream, type Logger, pino} from 'pino';

export type {Logger};

/** Creates a logger that writes JSON lines with the process's role and id, by default to standard error. */
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

/** Ignores write errors: a closed standard error must not stop the process. */
function openStandardError(): DestinationStream {
  return pino.destination({dest: 2, sync: true}).on('error', () => {});
}
