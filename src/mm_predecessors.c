/* mm_predecessors: leave groups on behalf of a member that is dead.

   Guards against room in nobody's hands after a restart: without it, the
   upstreams of a killed process stand idle for the rest of its membership,
   up to 1.5 s, though its successor is there.  It holds as the higher
   generation at which a partition comes to its next holder fences whatever
   order of the earlier life is still under way.  */
#include "mm_predecessors.h"

#include "config.h"
#include "mm_event.h"
#include "mm_members.h"

#include <string.h>

struct mm_predecessors
{
  int refs; /* the maker's, and one a call in flight */
  mm_store_port port;
  char *self;
  char *addr;        /* where we listen */
  GHashTable *asked; /* "group member" whose leaving is in flight */
};

typedef struct
{
  mm_predecessors *p;
  char *key;
} leaving;

static void
predecessors_unref (mm_predecessors *p)
{
  if (--p->refs > 0)
    return;
  g_hash_table_destroy (p->asked);
  g_free (p->self);
  g_free (p->addr);
  g_free (p);
}

mm_predecessors *
mm_predecessors_create (const mm_store_port *port, const char *self)
{
  mm_predecessors *p = g_new0 (mm_predecessors, 1);
  p->refs = 1;
  p->port = *port;
  p->self = g_strdup (self);
  p->asked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mm_peer_info own;
  if (mm_members_read_name (self, &own))
    {
      p->addr = g_strdup (own.addr);
      mm_peer_info_clear (&own);
    }
  return p;
}

void
mm_predecessors_destroy (mm_predecessors *p)
{
  if (p)
    predecessors_unref (p);
}

/* Not answered: the member is still listed next time, and asked about anew. */
static void
on_left (const mm_join_result *res, void *ctx)
{
  leaving *l = ctx;
  g_hash_table_remove (l->p->asked, l->key);
  predecessors_unref (l->p);
  g_free (l->key);
  g_free (l);
}

static bool
is_earlier_life (const mm_predecessors *p, const char *member)
{
  mm_peer_info m;
  if (strcmp (member, p->self) == 0 || !mm_members_read_name (member, &m))
    return false;
  bool same = g_strcmp0 (m.addr, p->addr) == 0;
  mm_peer_info_clear (&m);
  return same;
}

static void
take_out (mm_predecessors *p, const char *group, const char *member)
{
  char *key = g_strdup_printf ("%s %s", group, member);
  if (g_hash_table_contains (p->asked, key))
    {
      g_free (key);
      return;
    }
  mm_log_event (MM_EV_PREDECESSOR, MM_TEXT (group), MM_TEXT (member));
  g_hash_table_add (p->asked, g_strdup (key));
  leaving *l = g_new (leaving, 1);
  *l = (leaving){ .p = p, .key = key };
  p->refs++;
  p->port.leave (p->port.ctx, group, member, MM_STORE_TIMEOUT_MS, on_left, l);
}

void
mm_predecessors_note (mm_predecessors *p, const char *group,
                      const mm_members_result *res)
{
  if (!MM_WITH_PREDECESSORS)
    return;
  for (size_t i = 0; res->ok && i < res->n_members; i++)
    if (is_earlier_life (p, res->members[i]))
      take_out (p, group, res->members[i]);
}
