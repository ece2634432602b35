/* mm_neighbours: a bounded number of links, spread evenly.

   If each instance had a link to each other one, the number of messages that
   keep the links alive and report free capacity would grow with the square of
   the number of instances.  A task finds free capacity among a dozen owners as
   well as among hundreds.  So each instance links only to the highest ranked
   of the others, by a hash of both names.  All are chosen about equally often,
   and an instance that joins changes few links.

   An instance whose link was lost recently is ranked last, so that a data
   centre some of whose instances are down is reached through the others.  */
#include "mm_neighbours.h"

#include "config.h"

#include <string.h>
#include <xxhash.h>

/* An instance that may be chosen, and its rank.  */
typedef struct
{
  const mm_neighbour *instance;
  size_t index;       /* in the caller's array */
  uint64_t rank;      /* hash for this instance: the highest is chosen first */
  bool recently_lost; /* a link was lost within MM_NEIGHBOUR_LOST_MS */
  uint32_t position; /* place within its data centre in sorted order, from 0 */
} candidate;

/* Returns the hash by which an instance ranks another; the highest is chosen
   first.  */
static uint64_t
rank_of (const char *self, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name),
                               XXH3_64bits (self, strlen (self)));
}

/* Sorts candidates by falling rank, those with a recently lost link last.  */
static int
by_rank (const void *a, const void *b)
{
  const candidate *x = a, *y = b;
  if (x->recently_lost != y->recently_lost)
    return x->recently_lost ? 1 : -1;
  return x->rank < y->rank ? 1 : x->rank > y->rank ? -1 : 0;
}

/* Sets the position of each candidate within its data centre.  */
static void
number_by_datacentre (candidate *sorted, size_t n)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < n; i++)
    {
      gpointer dc = (gpointer)sorted[i].instance->datacentre;
      sorted[i].position = GPOINTER_TO_UINT (g_hash_table_lookup (counts, dc));
      g_hash_table_insert (counts, dc,
                           GUINT_TO_POINTER (sorted[i].position + 1));
    }
  g_hash_table_destroy (counts);
}

/* Chooses the candidates at @position in each data centre other than @own.
   Counts @remaining down and stops when it is 0.  */
static void
choose_far (const candidate *sorted, size_t n, const char *own,
            uint32_t position, uint32_t *remaining, bool *chosen)
{
  for (size_t i = 0; i<n && * remaining> 0; i++)
    {
      if (strcmp (sorted[i].instance->datacentre, own) == 0
          || sorted[i].position != position)
        continue;
      chosen[sorted[i].index] = true;
      (*remaining)--;
    }
}

/**
 * mm_neighbours_choose() - choose the instances to link to.
 * @self: the name of this instance.
 * @own_datacentre: the data centre of this instance.
 * @candidates: the other known instances.
 * @n: number of @candidates.
 * @now: the current time.
 * @chosen: an array of @n values; set to whether each candidate gets a link.
 *
 * Chooses at most MM_NEIGHBOURS_NEAR instances of the own data centre, and at
 * most MM_NEIGHBOURS_FAR of the other data centres together, of which at most
 * MM_NEIGHBOURS_FAR_EACH of any one.  In addition chooses every instance that
 * is standby for a data centre, as no other instance owns that data centre's
 * upstreams.
 */
void
mm_neighbours_choose (const char *self, const char *own_datacentre,
                      const mm_neighbour *candidates, size_t n, mm_time_ms now,
                      bool *chosen)
{
  candidate *sorted = g_new (candidate, n + 1);
  for (size_t i = 0; i < n; i++)
    sorted[i] = (candidate){ .instance = &candidates[i],
                             .index = i,
                             .rank = rank_of (self, candidates[i].name),
                             .recently_lost = candidates[i].lost_ms
                                              && now - candidates[i].lost_ms
                                                     < MM_NEIGHBOUR_LOST_MS };
  qsort (sorted, n, sizeof *sorted, by_rank);
  number_by_datacentre (sorted, n);
  for (size_t i = 0; i < n; i++)
    {
      bool own = strcmp (sorted[i].instance->datacentre, own_datacentre) == 0;
      chosen[sorted[i].index]
          = (own && sorted[i].position < MM_NEIGHBOURS_NEAR)
            || sorted[i].instance->is_standby || !MM_WITH_BOUNDED_LINKS;
    }
  uint32_t far = MM_NEIGHBOURS_FAR;
  for (uint32_t position = 0; position < MM_NEIGHBOURS_FAR_EACH; position++)
    choose_far (sorted, n, own_datacentre, position, &far, chosen);
  g_free (sorted);
}
