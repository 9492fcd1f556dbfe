/**
 * Finds the candidate with the smallest edit distance to a word; none when every distance
 * exceeds both 2 and a third of the word's length, rounded up.
 */
export function findNearest(
  word: string,
  candidates: readonly string[],
): string | undefined {
  const limit = Math.max(2, Math.ceil(word.length / 3));
  let nearest: string | undefined;
  let smallestDistance = limit + 1;
  for (const candidate of candidates) {
    const distance = computeEditDistance(word, candidate, smallestDistance);
    if (distance < smallestDistance) {
      smallestDistance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

/** Computes the edit distance of two words, capped at `cap`. */
function computeEditDistance(a: string, b: string, cap: number): number {
  if (Math.abs(a.length - b.length) >= cap) return cap;
  let previous = Array.from({length: b.length + 1}, (_, j) => j);
  for (let i = 1; i <= a.length; i++) {
    const current = [i];
    for (let j = 1; j <= b.length; j++) {
      const substitution = previous[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1);
      current.push(
        Math.min(substitution, previous[j]! + 1, current[j - 1]! + 1),
      );
    }
    if (Math.min(...current) >= cap) return cap;
    previous = current;
  }
  return Math.min(cap, previous[b.length]!);
}
