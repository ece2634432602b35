/* fuzz_entries: mutates entries of the upstream list, which other writers may
   spoil, and checks what is used of them.

   Mutates a sound entry for N rounds (its argument, default 20000).  Exits
   with 0 if the decoder survives and every entry that it accepts is within its
   bounds, also after it has been sent to another instance.  */
#include "mm_list_update.h"
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 20000u
#define SEED 1u
#define REPEATS_MAX 2000

static const char sound[]
    = "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
      "\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":1},"
      "\"labels\":[\"a\",\"r1-3\"],\"clockMs\":1,\"seq\":4,"
      "\"born\":1788277007022}";

/* What is inserted, at times again and again.  */
static const char *const pieces[]
    = { "[",    "{",       "\"",   "{\"a\":", "9",      "-",    "1e400",
        "null", "\\u0000", "\xff", ",",       "\"a\",", "true", ":" };

static void
insert_piece (GString *entry, GRand *rng)
{
  const char *piece
      = pieces[g_rand_int_range (rng, 0, (gint32)G_N_ELEMENTS (pieces))];
  gint32 n = g_rand_boolean (rng) ? 1 : g_rand_int_range (rng, 1, REPEATS_MAX);
  gssize at = g_rand_int_range (rng, 0, (gint32)entry->len + 1);
  for (gint32 i = 0; i < n; i++)
    g_string_insert (entry, at, piece);
}

static void
mutate (GString *entry, GRand *rng)
{
  for (gint32 n = g_rand_int_range (rng, 1, 4); n > 0; n--)
    {
      gint32 at = g_rand_int_range (rng, 0, (gint32)entry->len);
      switch (g_rand_int_range (rng, 0, 3))
        {
        case 0:
          entry->str[at] = (char)g_rand_int_range (rng, 0, 256);
          break;
        case 1:
          g_string_erase (
              entry, at,
              g_rand_int_range (rng, 1, (gint32)entry->len - at + 1));
          g_string_append_c (entry, ' ');
          break;
        default:
          insert_piece (entry, rng);
        }
    }
}

/* Returns whether another instance reads an update with the upstream.  */
static bool
is_read_by_peers (const mm_upstream_info *u)
{
  mm_list_change change = { .name = u->name, .info = (mm_upstream_info *)u };
  mm_list_update update = { .changes = &change, .n_changes = 1 }, copy;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_list_update_pack (&update, &b);
  bool ok = mm_list_update_read (b.data, b.size, &copy);
  mm_list_update_clear (&copy);
  msgpack_sbuffer_destroy (&b);
  return ok;
}

int
main (int argc, char **argv)
{
  guint64 rounds = ROUNDS;
  if (argc > 1
      && !g_ascii_string_to_unsigned (argv[1], 10, 1, G_MAXUINT32, &rounds,
                                      NULL))
    return 2;
  GRand *rng = g_rand_new_with_seed (SEED);
  guint64 used = 0;
  for (guint64 i = 0; i < rounds; i++)
    {
      GString *entry = g_string_new (sound);
      mutate (entry, rng);
      mm_upstream_info *u
          = pf_upstream_decode ("u", entry->str, entry->len, NULL);
      if (u && (mm_upstream_info_invalid_field (u) || !is_read_by_peers (u)))
        {
          fprintf (stderr, "round %" G_GUINT64_FORMAT ": %s\n", i, entry->str);
          return 1;
        }
      used += u != NULL;
      mm_upstream_info_free (u);
      g_string_free (entry, TRUE);
    }
  g_rand_free (rng);
  printf ("%" G_GUINT64_FORMAT " entries, %" G_GUINT64_FORMAT " used\n",
          rounds, used);
  return 0;
}
