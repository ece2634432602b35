/* Shows rendezvous hashing: when a member leaves, only its own keys move to
   other members.  */
#include <masticmill.h>

#include <stdio.h>

int
main (void)
{
  char *members[] = { "centro-1", "centro-2", "barranco-1" };
  int moved = 0;
  for (int i = 0; i < 12; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "shard-%d", i);
      const char *before = members[mm_hash_owner (key, members, 3)];
      const char *after = members[mm_hash_owner (key, members, 2)];
      moved += before != after;
      printf ("%-9s %-11s then %s\n", key, before, after);
    }
  printf ("%d of 12 moved when barranco-1 left\n", moved);
  return 0;
}
