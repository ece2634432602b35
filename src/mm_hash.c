/* mm_hash: rendezvous (highest random weight) hashing with xxHash.  */
#include "masticmill.h"

#include <string.h>
#include <xxhash.h>

/**
 * mm_hash_owner() - choose the member that owns a key.
 * @key: the key, such as a job id.
 * @members: names of the members; their order does not change the owner.
 * @n: number of members.
 *
 * The score of a member is XXH3(key) with XXH3(member name) as the seed.  The
 * member with the highest score owns the key; of equal scores, the one whose
 * name sorts first.  When a member leaves, only its keys get another owner.
 *
 * Return: index into @members, or -1 when @n is 0.
 */
int
mm_hash_owner (const char *key, char *const *members, size_t n)
{
  int best = -1;
  uint64_t best_score = 0;
  size_t key_len = strlen (key);
  for (size_t i = 0; i < n; i++)
    {
      uint64_t seed = XXH3_64bits (members[i], strlen (members[i]));
      uint64_t score = XXH3_64bits_withSeed (key, key_len, seed);
      if (best < 0 || score > best_score
          || (score == best_score && strcmp (members[i], members[best]) < 0))
        {
          best = (int)i;
          best_score = score;
        }
    }
  return best;
}
