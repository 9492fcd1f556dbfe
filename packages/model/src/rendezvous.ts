/**
 * Computes the weight of an id for a key (rendezvous hashing). Processes that know the same ids rank them
 * alike, each key has its own order, and adding or removing an id keeps the order of the others.
 */
export function computeRendezvousWeight(key: string, id: string): number {
  return shuffleBits(hashText(key) ^ hashText(id));
}

/** Hashes a string to 32 bits with FNV-1a over its UTF-16 code units. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash;
}

/** Mixes the bits of a 32-bit word (the finalizer of MurmurHash3). */
function shuffleBits(word: number): number {
  let bits = Math.imul(word ^ (word >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
