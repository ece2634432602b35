/* mm_predecessors: leaves groups on behalf of previous incarnations of this
   instance.

   Guards against upstreams without an owner after a restart: otherwise, the
   upstreams of a killed process would be idle for the rest of its membership,
   up to 1.5 s, although its successor is already running.  Leaving early is
   safe: the next owner of a partition has a higher fencing token, so upstreams
   refuse calls of the previous incarnation that are still in flight.  */
#include "mm_predecessors.h"

#include "config.h"
#include "mm_event.h"
#include "mm_members.h"

#include <string.h>

struct mm_predecessors
{
  int refs; /* one of the creator, one of each call in flight */
  mm_store_port port;
  char *self;                  /* member name of this instance */
  char *addr;                  /* address that this instance listens on */
  GHashTable *leaving_members; /* "group member" of each call in flight */
  mm_predecessors_removed removed;
  void *removed_ctx;
};

/* A call in flight that removes a member from a group.  */
typedef struct
{
  mm_predecessors *predecessors;
  char *key; /* its key in leaving_members */
  char *group;
} leave_call;

static void
predecessors_unref (mm_predecessors *p)
{
  if (--p->refs > 0)
    return;
  g_hash_table_destroy (p->leaving_members);
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
  p->leaving_members
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mm_mesh_peer_info own;
  if (mm_members_parse_name (self, &own))
    {
      p->addr = g_strdup (own.addr);
      mm_mesh_peer_info_clear (&own);
    }
  return p;
}

void
mm_predecessors_on_removed (mm_predecessors *p,
                            mm_predecessors_removed removed, void *ctx)
{
  p->removed = removed;
  p->removed_ctx = ctx;
}

void
mm_predecessors_destroy (mm_predecessors *p)
{
  if (!p)
    return;
  p->removed = NULL;
  predecessors_unref (p);
}

/* Handles the answer to a leave call.  A failure needs no handling: the store
   goes on listing the member, and the next check repeats the call.  */
static void
on_left (const mm_join_result *res, void *ctx)
{
  leave_call *call = ctx;
  mm_predecessors *p = call->predecessors;
  g_hash_table_remove (p->leaving_members, call->key);
  if (res->ok && p->removed)
    p->removed (p->removed_ctx, call->group);
  predecessors_unref (p);
  g_free (call->key);
  g_free (call->group);
  g_free (call);
}

/* Returns whether a member has the address of this instance and another name.
 */
static bool
is_previous_incarnation (const mm_predecessors *p, const char *member)
{
  mm_mesh_peer_info info;
  if (strcmp (member, p->self) == 0 || !mm_members_parse_name (member, &info))
    return false;
  bool same_addr = g_strcmp0 (info.addr, p->addr) == 0;
  mm_mesh_peer_info_clear (&info);
  return same_addr;
}

/* Removes a member from a group, unless a call for that is in flight.  */
static void
remove_member (mm_predecessors *p, const char *group, const char *member)
{
  char *key = g_strdup_printf ("%s %s", group, member);
  if (g_hash_table_contains (p->leaving_members, key))
    {
      g_free (key);
      return;
    }
  mm_log_event (MM_EV_PREDECESSOR, MM_TEXT (group), MM_TEXT (member));
  g_hash_table_add (p->leaving_members, g_strdup (key));
  leave_call *call = g_new (leave_call, 1);
  *call = (leave_call){ .predecessors = p,
                        .key = key,
                        .group = g_strdup (group) };
  p->refs++;
  p->port.leave (p->port.ctx, group, member, MM_STORE_TIMEOUT_MS, on_left,
                 call);
}

void
mm_predecessors_check (mm_predecessors *p, const char *group,
                       const mm_members_result *res)
{
  if (!MM_WITH_PREDECESSORS)
    return;
  for (size_t i = 0; res->ok && i < res->n_members; i++)
    if (is_previous_incarnation (p, res->members[i]))
      remove_member (p, group, res->members[i]);
}
