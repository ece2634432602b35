/* mm_list_share: who reads next, and what is passed on.  */
#include "mm_list_share.h"

#include "config.h"
#include "mm_list_update.h"
#include "mm_metrics.h"

#include <string.h>
#include <xxhash.h>

struct mm_list_share
{
  mm_catalog *catalog; /* not ours */
  mm_mesh *mesh;       /* not ours */
  mm_stream *stream;
  char *self;
  mm_list_changed changed;
  void *ctx;
  mm_list_log *log;
  GArray *seen; /* mm_list_change of the answer being read */
  uint64_t round;
  mm_time_ms own_until_ms; /* until then only our own reads count */
  mm_time_ms notified_ms;  /* as of when the others were last notified */
  mm_time_ms contact_ms;   /* since when it is followed, 0: not read yet */
  bool complete;
};

/* ---- who reads next --------------------------------------------------- */

static uint64_t
rank_of (const char *name, uint64_t round)
{
  return XXH3_64bits_withSeed (name, strlen (name), round);
}

uint32_t
mm_list_place (const char *self, GList *linked, uint64_t round)
{
  uint64_t own = rank_of (self, round);
  uint32_t before = 0;
  for (GList *i = linked; i; i = i->next)
    before += rank_of (i->data, round) < own;
  return MIN (before, MM_LIST_PLACES_MAX);
}

static mm_time_ms
pause_ms (void *ctx)
{
  const mm_list_share *l = ctx;
  GList *linked = mm_mesh_linked (l->mesh);
  uint32_t place = mm_list_place (l->self, linked, l->round);
  g_list_free (linked);
  return MM_LIST_POLL_MS + place * MM_LIST_PLACE_MS;
}

/* ---- updates sent ----------------------------------------------------- */

static uint64_t
update_for (void *ctx, uint64_t known_upto, msgpack_sbuffer *out)
{
  const mm_list_share *l = ctx;
  mm_list_update n
      = { .round = l->round,
          .from = MAX (known_upto, mm_list_log_first (l->log)),
          .to = mm_stream_next (l->stream),
          .age_ms = mm_clock_now_ms () - mm_stream_known_ms (l->stream) };
  n.changes = mm_list_log_since (l->log, n.from, &n.n_changes);
  mm_list_update_pack (&n, out);
  return n.to;
}

static void
notify (mm_list_share *l, const char *but_not)
{
  l->notified_ms = mm_stream_known_ms (l->stream);
  mm_mesh_notify (l->mesh, update_for, l, but_not);
}

/* ---- own reads -------------------------------------------------------- */

static bool
apply (mm_list_share *l, const char *name, const mm_upstream_info *u,
       const mm_catalog_origin *from)
{
  return u ? mm_catalog_put (l->catalog, u, from)
           : mm_catalog_missing (l->catalog, name);
}

static void
on_item (void *ctx, const mm_stream_item *item)
{
  mm_list_share *l = ctx;
  mm_catalog_origin read = { .as_of_ms = mm_stream_sent_ms (l->stream) };
  if (!apply (l, item->key, item->upstream, &read))
    return;
  const mm_upstream_info *u = item->upstream;
  mm_list_change c = { .name = g_strdup (item->key),
                       .info = u ? mm_upstream_info_copy (u) : NULL };
  g_array_append_val (l->seen, c);
}

/* Others may have seen an upstream go that we never saw come, or the other
   way round: what changed for them is not all that changed for us.  By then
   an upstream that lives has written to the list again.  */
static void
on_whole (void *ctx, GHashTable *keys)
{
  mm_list_share *l = ctx;
  mm_catalog_keep_only (l->catalog, keys);
  g_array_set_size (l->seen, 0);
  mm_list_log_reset (l->log, mm_stream_next (l->stream));
  mm_time_ms now = mm_clock_now_ms ();
  l->own_until_ms = now + MM_LIST_OWN_MS;
  if (!l->contact_ms)
    l->contact_ms = now;
  l->changed (l->ctx);
}

static void
on_changes (void *ctx, bool all)
{
  mm_list_share *l = ctx;
  uint64_t upto = mm_stream_next (l->stream);
  for (guint i = 0; i < l->seen->len; i++)
    {
      const mm_list_change *c = &g_array_index (l->seen, mm_list_change, i);
      mm_list_log_add (l->log, upto, c->name, c->info);
    }
  g_array_set_size (l->seen, 0);
  if (!all)
    return;
  l->round++;
  notify (l, NULL);
}

/* ---- updates received ------------------------------------------------- */

/* The peer took for known what it sent before own_until_ms.  It learns from
   our update what we know, and its next one begins there.  */
static void
close_gap (mm_list_share *l, const char *peer, const mm_list_update *n)
{
  if (l->contact_ms && n->from > mm_stream_next (l->stream))
    mm_mesh_notify_peer (l->mesh, peer, update_for, l);
}

static void
take_update (mm_list_share *l, const char *peer, const mm_list_update *n)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms as_of_ms = now - n->age_ms;
  l->round = MAX (l->round, n->round);
  mm_mesh_set_known (l->mesh, peer, n->to);
  if (now < l->own_until_ms)
    return;
  if (!mm_stream_advance (l->stream, n->from, n->to, as_of_ms))
    {
      close_gap (l, peer, n);
      return;
    }
  mm_metrics_count (MM_CT_LIST_UPDATES);
  mm_catalog_origin passed_on = { .peer = peer, .as_of_ms = as_of_ms };
  bool any = false;
  for (size_t i = 0; i < n->n_changes; i++)
    {
      const mm_list_change *c = &n->changes[i];
      if (!apply (l, c->name, c->info, &passed_on))
        continue;
      mm_list_log_add (l->log, n->to, c->name, c->info);
      any = true;
    }
  if (any || as_of_ms - l->notified_ms >= MM_LIST_NOTIFY_MS)
    notify (l, peer);
  if (any)
    l->changed (l->ctx);
}

static void
on_update (void *ctx, const char *peer, const void *data, size_t len,
           mm_time_ms held_up_ms)
{
  mm_list_update n;
  if (mm_list_update_read (data, len, &n))
    {
      n.age_ms += held_up_ms;
      take_update (ctx, peer, &n);
    }
  else
    g_warning ("mesh: update of the upstream list from %s not understood",
               peer);
  mm_list_update_clear (&n);
}

/**
 * mm_list_share_create() - follow the upstream list together.
 * @port: the store.
 * @catalog: takes what is read and passed on; must outlive this.
 * @mesh: the other instances; must outlive this.
 * @self: our name among them.
 * @changed: called when the catalog has changed but for our own reads of
 *           changes.
 * @ctx: for @changed.
 *
 * Return: free with mm_list_share_destroy().
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
  l->seen = g_array_new (FALSE, FALSE, sizeof (mm_list_change));
  g_array_set_clear_func (l->seen, mm_list_change_clear);
  mm_stream_events ev = { .item = on_item,
                          .whole = on_whole,
                          .changes = on_changes,
                          .pause_ms = pause_ms,
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
  g_array_free (l->seen, TRUE);
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
  if (l->complete || !l->contact_ms)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  if (now - mm_stream_known_ms (l->stream) >= MM_STREAM_TOUCH_MS)
    l->contact_ms = now;
  l->complete = now - l->contact_ms >= MM_LIST_DROP_MS;
}

bool
mm_list_share_complete (const mm_list_share *l)
{
  return l->complete;
}
