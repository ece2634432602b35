/* mm_neighbours: a bounded number of links, spread evenly.

   Answers the load of many instances: with a link from each to each other
   one, the messages that keep the links alive and tell of room grow with
   the square of their number.  A task finds room among a dozen owners as
   well as among hundreds: each draws others, by a hash of both names, so
   that all are drawn about equally often and a newcomer moves few links.

   One that lately lost its link comes last, so that a data centre some of
   whose instances are gone is reached through the others.  */
#include "mm_neighbours.h"

#include "config.h"

#include <string.h>
#include <xxhash.h>

typedef struct
{
  const mm_neighbour *c;
  size_t at;     /* in the caller's list */
  uint64_t rank; /* for this instance */
  bool lost;
  uint32_t place; /* among those of its data centre */
} candidate;

static uint64_t
rank_of (const char *self, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name),
                               XXH3_64bits (self, strlen (self)));
}

static int
by_rank (const void *a, const void *b)
{
  const candidate *x = a, *y = b;
  if (x->lost != y->lost)
    return x->lost ? 1 : -1;
  return x->rank < y->rank ? 1 : x->rank > y->rank ? -1 : 0;
}

/* Number the candidates of each data centre, in the order they stand.  */
static void
number_by_datacentre (candidate *sorted, size_t n)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < n; i++)
    {
      gpointer dc = (gpointer)sorted[i].c->datacentre;
      sorted[i].place = GPOINTER_TO_UINT (g_hash_table_lookup (counts, dc));
      g_hash_table_insert (counts, dc, GUINT_TO_POINTER (sorted[i].place + 1));
    }
  g_hash_table_destroy (counts);
}

/* Those @place-th of their data centres, until @room is used up.  */
static void
choose_far (const candidate *sorted, size_t n, const char *own, uint32_t place,
            uint32_t *room, bool *chosen)
{
  for (size_t i = 0; i<n && * room> 0; i++)
    {
      if (strcmp (sorted[i].c->datacentre, own) == 0
          || sorted[i].place != place)
        continue;
      chosen[sorted[i].at] = true;
      (*room)--;
    }
}

/**
 * mm_neighbours_choose() - whom to link to.
 * @self: our name.
 * @own_datacentre: ours.
 * @c: the other instances that are known.
 * @n: their number.
 * @now: the clock.
 * @chosen: set for each of them.
 *
 * MM_NEIGHBOURS_NEAR of our data centre, MM_NEIGHBOURS_FAR of others and of
 * each other one MM_NEIGHBOURS_FAR_EACH at most; besides, whoever stands in
 * for a data centre, as nobody else has its upstreams.
 */
void
mm_neighbours_choose (const char *self, const char *own_datacentre,
                      const mm_neighbour *c, size_t n, mm_time_ms now,
                      bool *chosen)
{
  candidate *sorted = g_new (candidate, n + 1);
  for (size_t i = 0; i < n; i++)
    sorted[i]
        = (candidate){ .c = &c[i],
                       .at = i,
                       .rank = rank_of (self, c[i].name),
                       .lost = c[i].lost_ms
                               && now - c[i].lost_ms < MM_NEIGHBOUR_LOST_MS };
  qsort (sorted, n, sizeof *sorted, by_rank);
  number_by_datacentre (sorted, n);
  for (size_t i = 0; i < n; i++)
    {
      bool own = strcmp (sorted[i].c->datacentre, own_datacentre) == 0;
      chosen[sorted[i].at] = (own && sorted[i].place < MM_NEIGHBOURS_NEAR)
                             || sorted[i].c->stands_in
                             || !MM_WITH_BOUNDED_LINKS;
    }
  uint32_t far = MM_NEIGHBOURS_FAR;
  for (uint32_t place = 0; place < MM_NEIGHBOURS_FAR_EACH; place++)
    choose_far (sorted, n, own_datacentre, place, &far, chosen);
  g_free (sorted);
}
