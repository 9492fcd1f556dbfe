/**
 * Weighs an id for a key: who knows the same ids ranks them alike, each key has its own order, and an id
 * that comes or goes leaves the order of the others as it is.
 */
export function weighRendezvous(key: string, id: string): number {
  return shuffleBits(hashText(key) ^ hashText(id));
}

/** Hashes a text to 32 bits (FNV-1a). */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash;
}

/** Spreads each bit of a word over all of its bits (the finalizer of MurmurHash3). */
function shuffleBits(word: number): number {
  let bits = Math.imul(word ^ (word >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
