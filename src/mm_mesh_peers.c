/* mm_mesh_peers: the known instances, and which of them get a link.  */
#include "mm_mesh_priv.h"

#include "config.h"
#include "mm_neighbours.h"

#include <string.h>

/* Returns whether the member list @peers holds an instance of this name.  */
static bool
is_listed (const char *name, const mm_mesh_peer_info *peers, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (peers[i].name, name) == 0)
      return true;
  return false;
}

void
mm_mesh_unlisted_free (gpointer unlisted)
{
  mm_mesh_unlisted *u = unlisted;
  mm_mesh_peer_info_clear (&u->info);
  g_free (u);
}

/* Frees entries of peers that were dropped long ago.  */
static void
expire_unlisted (mm_mesh *m, mm_time_ms now)
{
  const mm_mesh_unlisted *oldest;
  while ((oldest = g_queue_peek_head (m->unlisted))
         && now - oldest->dropped_ms > MM_MESH_UNLISTED_KEEP_MS)
    mm_mesh_unlisted_free (g_queue_pop_head (m->unlisted));
}

/* Remembers a peer that is being dropped.  It may run and only have lost its
   membership.  */
static void
remember_unlisted (const mm_mesh_peer *p, mm_time_ms now)
{
  if (p->revived)
    return;
  mm_mesh_unlisted *u = g_new0 (mm_mesh_unlisted, 1);
  u->info.name = g_strdup (p->info.name);
  u->info.addr = g_strdup (p->info.addr);
  u->info.datacentre = g_strdup (p->info.datacentre);
  u->dropped_ms = now;
  g_queue_push_tail (p->mesh->unlisted, u);
}

/**
 * mm_mesh_set_peers() - set the list of the other instances.
 * @m: the mesh.
 * @peers: all instances but this one; copied.
 * @n: number of @peers.
 *
 * A peer that is not listed any more is kept while it is connected: the list
 * lags, and the tasks dispatched to that peer go on running.  Otherwise it is
 * dropped, and mm_mesh_reach_datacentre() can add it again for a while.
 */
void
mm_mesh_set_peers (mm_mesh *m, const mm_mesh_peer_info *peers, size_t n)
{
  mm_time_ms now = mm_clock_now_ms ();
  expire_unlisted (m, now);
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      /* mm_mesh_add_peer() below sets it for those that @peers lists as
         standbys.  */
      mm_mesh_peer *p = v;
      bool was_listed = p->listed;
      p->info.is_standby = false;
      p->listed = is_listed (k, peers, n);
      if (was_listed && !p->listed)
        p->unlisted_ms = now;
      p->revived = p->revived && !p->connected && !p->listed;
      if (p->connected || p->listed)
        continue;
      remember_unlisted (p, now);
      g_hash_table_iter_remove (&it);
    }
  m->neighbours_stale = true;
  for (size_t i = 0; i < n; i++)
    mm_mesh_add_peer (m, &peers[i]);
}

void
mm_mesh_add_peer (mm_mesh *m, const mm_mesh_peer_info *info)
{
  mm_mesh_peer *p = g_hash_table_lookup (m->peers, info->name);
  if (p)
    {
      p->info.is_standby = p->info.is_standby || info->is_standby;
      return;
    }
  m->neighbours_stale = true;
  p = g_new0 (mm_mesh_peer, 1);
  p->mesh = m;
  p->info.name = g_strdup (info->name);
  p->info.addr = g_strdup (info->addr);
  p->info.datacentre = g_strdup (info->datacentre);
  p->info.is_standby = info->is_standby;
  p->known_ms = mm_clock_now_ms ();
  p->remote_tasks = g_hash_table_new (g_int64_hash, g_int64_equal);
  p->unseen_reserves = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  p->requests = mm_requests_create ();
  g_hash_table_insert (m->peers, p->info.name, p);
}

/* Returns whether the peer's last report has capacity, free or in use.  */
static bool
reports_capacity (const mm_mesh_peer *p)
{
  for (size_t i = 0; i < p->n_capacities; i++)
    if (p->capacities[i].capacity.places)
      return true;
  return false;
}

/* Returns whether the peer may have capacity.  An instance that owns no
   upstreams is not in the member list and has no capacity.  A joining instance
   may own upstreams before the member list names it.  After an outage of the
   store the list lacks the instances that have not rejoined yet, although they
   own upstreams, or will own some once they have joined: a connected peer
   stays a candidate for MM_NEIGHBOUR_NEW_MS, and for as long as it reports
   capacity.  */
static bool
may_have_capacity (const mm_mesh_peer *p, mm_time_ms now)
{
  bool unlisted_lately
      = p->unlisted_ms && now - p->unlisted_ms < MM_NEIGHBOUR_NEW_MS;
  return p->listed || now - p->known_ms < MM_NEIGHBOUR_NEW_MS
         || (p->connected && (unlisted_lately || reports_capacity (p)));
}

mm_mesh_presence
mm_mesh_presence_in (const mm_mesh *m, const char *datacentre)
{
  mm_mesh_presence r = { 0 };
  mm_time_ms now = mm_clock_now_ms ();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_mesh_peer *p = v;
      if (strcmp (p->info.datacentre, datacentre) != 0)
        continue;
      r.connected += p->connected;
      r.staying += p->connected && !p->leaving;
      r.lost_ms = MAX (r.lost_ms, p->lost_ms);
      r.untried
          += may_have_capacity (p, now)
             && (!p->lost_ms || now - p->lost_ms >= MM_NEIGHBOUR_LOST_MS);
    }
  const mm_time_ms *closed = g_hash_table_lookup (m->closed_ms, datacentre);
  r.closed_ms = closed ? *closed : 0;
  return r;
}

void
mm_mesh_reach_datacentre (mm_mesh *m, const char *datacentre)
{
  expire_unlisted (m, mm_clock_now_ms ());
  for (GList *l = m->unlisted->head; l; l = l->next)
    {
      const mm_mesh_unlisted *u = l->data;
      if (strcmp (u->info.datacentre, datacentre) != 0
          || g_hash_table_contains (m->peers, u->info.name))
        continue;
      mm_mesh_add_peer (m, &u->info);
      mm_mesh_require_link (m, u->info.name);
      mm_mesh_peer *p = g_hash_table_lookup (m->peers, u->info.name);
      p->revived = true;
    }
}

void
mm_mesh_require_link (mm_mesh *m, const char *peer_name)
{
  mm_time_ms until_ms = mm_clock_now_ms () + MM_MESH_LINK_KEEP_MS;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_mesh_peer *p = v;
      if (peer_name && strcmp (p->info.name, peer_name) != 0)
        continue;
      m->neighbours_stale = m->neighbours_stale || !p->wanted;
      p->wanted_until_ms = until_ms;
    }
}

/* Returns whether an instance may be a member of the group of a data centre.
   Of which group a standby is a member is not known here.  */
static bool
may_be_member (const mm_mesh_peer *p, const char *datacentre, mm_time_ms now)
{
  return may_have_capacity (p, now)
         && (p->info.is_standby
             || strcmp (p->info.datacentre, datacentre) == 0);
}

/* Returns whether the address of a peer is that of another, connected one: its
   next incarnation.  */
static bool
is_replaced (const mm_mesh *m, const mm_mesh_peer *p)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_mesh_peer *other = v;
      if (other != p && other->connected
          && strcmp (other->info.addr, p->info.addr) == 0)
        return true;
    }
  return false;
}

/* The member list lags, and names instances that have left their groups.  Such
   an instance has reported that it is leaving before its link closed, or its
   next incarnation is connected.  */
mm_mesh_links
mm_mesh_links_in (const mm_mesh *m, const char *datacentre)
{
  mm_mesh_links r = { 0 };
  mm_time_ms now = mm_clock_now_ms ();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_mesh_peer *p = v;
      if (!may_be_member (p, datacentre, now))
        continue;
      r.linked += p->connected;
      r.joined += p->connected && now - p->known_ms < MM_NEIGHBOUR_NEW_MS;
      r.unlinked += !p->connected && !p->leaving && !is_replaced (m, p);
    }
  return r;
}

void
mm_mesh_require_links_in (mm_mesh *m, const char *datacentre)
{
  mm_time_ms now = mm_clock_now_ms ();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_mesh_peer *p = v;
      if (!may_be_member (p, datacentre, now))
        continue;
      m->neighbours_stale = m->neighbours_stale || !p->wanted;
      p->wanted_until_ms = now + MM_MESH_LINK_KEEP_MS;
    }
}

bool
mm_mesh_is_connected (const mm_mesh *m, const char *peer_name)
{
  const mm_mesh_peer *p = g_hash_table_lookup (m->peers, peer_name);
  return p && p->connected;
}

GList *
mm_mesh_peers (const mm_mesh *m)
{
  GList *names = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_mesh_peer *)v)->connected)
      names = g_list_prepend (names, ((mm_mesh_peer *)v)->info.name);
  return names;
}

uint32_t
mm_mesh_connected (const mm_mesh *m)
{
  uint32_t n = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    n += ((mm_mesh_peer *)v)->connected;
  return n;
}

uint32_t
mm_mesh_inbound (const mm_mesh *m)
{
  return g_list_length (m->inbound);
}

/* A link is wanted to the chosen neighbours and to each peer for which
   mm_mesh_require_link() was called recently.  Only peers that may have
   capacity are candidates; of the others, @considered keeps no entry.  */
void
mm_mesh_choose_neighbours (mm_mesh *m, mm_time_ms now)
{
  guint n = g_hash_table_size (m->peers);
  mm_neighbour *candidates = g_new0 (mm_neighbour, n + 1);
  mm_mesh_peer **considered = g_new0 (mm_mesh_peer *, n + 1);
  bool *chosen = g_new0 (bool, n + 1);
  GHashTableIter it;
  gpointer v;
  guint i = 0;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      considered[i] = v;
      considered[i]->wanted = considered[i]->wanted_until_ms > now;
      if (!may_have_capacity (considered[i], now))
        continue;
      candidates[i]
          = (mm_neighbour){ .name = considered[i]->info.name,
                            .datacentre = considered[i]->info.datacentre,
                            .is_standby = considered[i]->info.is_standby,
                            .lost_ms = considered[i]->lost_ms };
      i++;
    }
  mm_neighbours_choose (m->self, m->datacentre, candidates, i, now, chosen);
  for (n = i, i = 0; i < n; i++)
    considered[i]->wanted = considered[i]->wanted || chosen[i];
  m->neighbours_stale = false;
  m->neighbours_chosen_ms = now;
  g_free (chosen);
  g_free (considered);
  g_free (candidates);
}
