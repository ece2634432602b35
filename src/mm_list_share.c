/* mm_list_share: follows the upstream list together with the other instances.

   The instances take turns to read the list from the store, and each sends the
   changes that it reads or receives to the instances linked to it.  */
#include "mm_list_share.h"

#include "config.h"
#include "mm_list_update.h"
#include "mm_metrics.h"

#include <string.h>
#include <xxhash.h>

struct mm_list_share
{
  mm_catalog *catalog; /* not owned */
  mm_mesh *mesh;       /* not owned */
  mm_stream *stream;
  char *self; /* member name of this instance */
  mm_list_changed changed;
  void *ctx;
  mm_list_log *log;     /* the last changes, to be sent to peers */
  GArray *changes_read; /* mm_list_change, from the answer being read */
  uint64_t round;       /* reads of changes so far, by any instance */
  mm_time_ms own_reads_until_ms; /* until then updates of peers are ignored */
  /* Time as of which the list was known when peers were last notified.  */
  mm_time_ms notified_as_of_ms;
  /* When contact with the store began, after the last outage if there was one;
     0: the list was not read yet.  */
  mm_time_ms contact_since_ms;
  bool complete; /* the list names every upstream */
};

/* ---- read order ------------------------------------------------------- */

/* Returns a hash that orders the instances in a round; the lowest reads
   first.  */
static uint64_t
rank_of (const char *name, uint64_t round)
{
  return XXH3_64bits_withSeed (name, strlen (name), round);
}

uint32_t
mm_list_read_rank (const char *self, GList *peers, uint64_t round)
{
  uint64_t own = rank_of (self, round);
  uint32_t n_before = 0;
  for (GList *i = peers; i; i = i->next)
    n_before += rank_of (i->data, round) < own;
  return MIN (n_before, MM_LIST_RANK_MAX);
}

/* Returns the time between reads by this instance, longer the more linked
   instances read before it in this round.  */
static mm_time_ms
poll_interval_ms (void *ctx)
{
  const mm_list_share *l = ctx;
  GList *peers = mm_mesh_linked (l->mesh);
  uint32_t rank = mm_list_read_rank (l->self, peers, l->round);
  g_list_free (peers);
  return MM_LIST_POLL_MS + rank * MM_LIST_RANK_DELAY_MS;
}

/* ---- updates sent ----------------------------------------------------- */

/* Writes the update for a peer that knows the list up to offset
   @known_list_offset. Returns the offset up to which the peer knows the list
   with this update.  */
static uint64_t
pack_update_for (void *ctx, uint64_t known_list_offset, msgpack_sbuffer *out)
{
  const mm_list_share *l = ctx;
  mm_list_update update = {
    .round = l->round,
    .from_offset = MAX (known_list_offset, mm_list_log_first_offset (l->log)),
    .to_offset = mm_stream_next_offset (l->stream),
    .age_ms = mm_clock_now_ms () - mm_stream_known_as_of_ms (l->stream)
  };
  update.changes
      = mm_list_log_since (l->log, update.from_offset, &update.n_changes);
  mm_list_update_pack (&update, out);
  return update.to_offset;
}

/* Sends an update to all connected peers but @except (NULL: to all).  */
static void
notify (mm_list_share *l, const char *except)
{
  l->notified_as_of_ms = mm_stream_known_as_of_ms (l->stream);
  mm_mesh_notify (l->mesh, pack_update_for, l, except);
}

/* ---- own reads -------------------------------------------------------- */

/* Applies a change to the catalog; @u is NULL for an upstream that is no
   longer listed.  Returns whether the catalog changed.  */
static bool
apply (mm_list_share *l, const char *name, const mm_upstream_info *u,
       const mm_catalog_origin *from)
{
  return u ? mm_catalog_put (l->catalog, u, from)
           : mm_catalog_set_missing (l->catalog, name);
}

/* Applies a record that was read to the catalog.  If the catalog changed, the
   change is also kept for the peers.  */
static void
on_item (void *ctx, const mm_stream_item *item)
{
  mm_list_share *l = ctx;
  mm_catalog_origin read = { .as_of_ms = mm_stream_last_sent_ms (l->stream) };
  if (!apply (l, item->key, item->upstream, &read))
    return;
  const mm_upstream_info *u = item->upstream;
  mm_list_change c = { .name = g_strdup (item->key),
                       .info = u ? mm_upstream_info_copy (u) : NULL };
  g_array_append_val (l->changes_read, c);
}

/* Handles a full read of the list: upstreams that were not read are missing
   from now on, and updates of peers are ignored for MM_LIST_OWN_READS_MS.
   Peers may have seen an upstream leave that this instance never saw join, or
   the reverse.  So changes that are new to this instance may be none to a
   peer, which then does not send them.  Within MM_LIST_OWN_READS_MS every live
   upstream writes to the list again.  An update that tells of an upstream that
   begins to drain makes this instance read at once.  */
static void
on_full_read (void *ctx, GHashTable *keys)
{
  mm_list_share *l = ctx;
  mm_catalog_keep_only (l->catalog, keys);
  g_array_set_size (l->changes_read, 0);
  mm_list_log_reset (l->log, mm_stream_next_offset (l->stream));
  mm_time_ms now = mm_clock_now_ms ();
  l->own_reads_until_ms = now + MM_LIST_OWN_READS_MS;
  if (!l->contact_since_ms)
    l->contact_since_ms = now;
  l->changed (l->ctx);
}

/* Handles a read of changes: notifies the peers once this instance has read up
   to the end of the stream.  */
static void
on_changes (void *ctx, bool at_end)
{
  mm_list_share *l = ctx;
  uint64_t end_offset = mm_stream_next_offset (l->stream);
  for (guint i = 0; i < l->changes_read->len; i++)
    {
      const mm_list_change *c
          = &g_array_index (l->changes_read, mm_list_change, i);
      mm_list_log_append (l->log, end_offset, c->name, c->info);
    }
  g_array_set_size (l->changes_read, 0);
  if (!at_end)
    return; /* the rest of the changes is read next */
  l->round++;
  notify (l, NULL);
}

/* ---- updates received ------------------------------------------------- */

/* Sends an update to a peer whose own update begins past the offset that this
   instance knows.  The peer assumes that this instance applied the updates
   that it ignored (own_reads_until_ms).  From the update sent back the peer
   learns the offset known here, and its next update begins there.  */
static void
resend_known (mm_list_share *l, const char *peer, const mm_list_update *update)
{
  if (l->contact_since_ms
      && update->from_offset > mm_stream_next_offset (l->stream))
    mm_mesh_notify_peer (l->mesh, peer, pack_update_for, l);
}

/* Returns whether an upstream that is known here begins to drain with the
   update.  */
static bool
tells_of_drain (const mm_list_share *l, const mm_list_update *update)
{
  for (size_t i = 0; i < update->n_changes; i++)
    {
      const mm_list_change *c = &update->changes[i];
      const mm_upstream_info *known
          = c->info && c->info->draining
                ? mm_catalog_find (l->catalog, c->name)
                : NULL;
      if (known && !known->draining)
        return true;
    }
  return false;
}

/* Applies an update of a peer, and sends it on when the update changed the
   catalog or MM_LIST_NOTIFY_MS have passed since the last notification.  */
static void
apply_update (mm_list_share *l, const char *peer, const mm_list_update *update)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms as_of_ms = now - update->age_ms;
  l->round = MAX (l->round, update->round);
  mm_mesh_set_known_list_offset (l->mesh, peer, update->to_offset);
  if (now < l->own_reads_until_ms)
    {
      if (tells_of_drain (l, update))
        mm_stream_poll_now (l->stream);
      return;
    }
  if (!mm_stream_advance (l->stream, update->from_offset, update->to_offset,
                          as_of_ms))
    {
      resend_known (l, peer, update);
      return;
    }
  mm_metrics_count (MM_CT_LIST_UPDATES);
  mm_catalog_origin origin = { .peer = peer, .as_of_ms = as_of_ms };
  bool any_change = false;
  for (size_t i = 0; i < update->n_changes; i++)
    {
      const mm_list_change *c = &update->changes[i];
      if (!apply (l, c->name, c->info, &origin))
        continue;
      mm_list_log_append (l->log, update->to_offset, c->name, c->info);
      any_change = true;
    }
  if (any_change || as_of_ms - l->notified_as_of_ms >= MM_LIST_NOTIFY_MS)
    notify (l, peer);
  if (any_change)
    l->changed (l->ctx);
}

/* Handles an update from a peer.  The time for which queues delayed the
   message is added to the update's age.  */
static void
on_update (void *ctx, const char *peer, const void *data, size_t len,
           mm_time_ms queue_delay_ms)
{
  mm_list_update update;
  if (mm_list_update_read (data, len, &update))
    {
      update.age_ms += queue_delay_ms;
      apply_update (ctx, peer, &update);
    }
  else
    g_warning ("mesh: malformed update of the upstream list from %s", peer);
  mm_list_update_clear (&update);
}

/**
 * mm_list_share_create() - follow the upstream list together with the other
 * instances.
 * @port: the store; copied.
 * @catalog: filled from own reads and from the updates of peers; must outlive
 *           the returned object.
 * @mesh: the other instances; must outlive the returned object.
 * @self: the name of this instance in the mesh.
 * @changed: called after a full read, and after a peer's update that changed
 *           the catalog, but not after own reads of changes.
 * @ctx: for @changed.
 *
 * Return: the shared list; free with mm_list_share_destroy().
 */
mm_list_share *
mm_list_share_create (const mm_store_port *port, mm_catalog *catalog,
                      mm_mesh *mesh, const char *self, mm_list_changed changed,
                      void *ctx)
{
  mm_list_share *l = g_new0 (mm_list_share, 1);
  l->catalog = catalog;
  l->mesh = mesh;
  l->self = g_strdup (self);
  l->changed = changed;
  l->ctx = ctx;
  l->log = mm_list_log_create ();
  l->changes_read = g_array_new (FALSE, FALSE, sizeof (mm_list_change));
  g_array_set_clear_func (l->changes_read, mm_list_change_clear);
  mm_stream_events ev = { .item = on_item,
                          .loaded = on_full_read,
                          .changes = on_changes,
                          .poll_interval_ms = poll_interval_ms,
                          .ctx = l };
  l->stream = mm_stream_create (port, MM_STREAM_UPSTREAMS, 0, &ev);
  mm_mesh_on_update (mesh, on_update, l);
  return l;
}

void
mm_list_share_destroy (mm_list_share *l)
{
  if (!l)
    return;
  mm_mesh_on_update (l->mesh, NULL, NULL);
  mm_stream_destroy (l->stream);
  mm_list_log_destroy (l->log);
  g_array_free (l->changes_read, TRUE);
  g_free (l->self);
  g_free (l);
}

mm_stream *
mm_list_share_stream (const mm_list_share *l)
{
  return l->stream;
}

void
mm_list_share_tick (mm_list_share *l)
{
  if (l->complete || !l->contact_since_ms)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  /* While the store is unreachable, entries expire from the list: the time of
     contact is counted from the end of the last outage.  */
  if (now - mm_stream_known_as_of_ms (l->stream) >= MM_STREAM_CONTACT_MS)
    l->contact_since_ms = now;
  l->complete = now - l->contact_since_ms >= MM_LIST_DROP_MS;
}

bool
mm_list_share_complete (const mm_list_share *l)
{
  return l->complete;
}
