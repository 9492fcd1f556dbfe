import type {Configuration, QueueConfig} from '#model';

/** Finds the queue of a request: the one with its host and the longest matching path prefix. */
export function findQueue(
  {queues}: Configuration,
  host: string,
  path: string,
): QueueConfig | undefined {
  let found: QueueConfig | undefined;
  for (const queue of queues) {
    if (queue.host !== host || !path.startsWith(queue.path)) continue;
    if (found === undefined || queue.path.length > found.path.length) {
      found = queue;
    }
  }
  return found;
}
