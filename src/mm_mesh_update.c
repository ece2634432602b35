/* mm_mesh_update: sends updates to all connected instances, over links of
   either direction.  */
#include "mm_mesh_priv.h"

#include <string.h>

/* Returns whether updates leave out an inbound link.  They do while its sender
   has not sent its name yet, and when the sender gets the updates over this
   instance's own link to it, so that each instance gets an update once.  */
static bool
skips_inbound (const mm_mesh_inbound_link *in)
{
  return !in->name || mm_mesh_is_connected (in->mesh, in->name);
}

GList *
mm_mesh_linked (const mm_mesh *m)
{
  GList *names = mm_mesh_peers (m);
  for (GList *l = m->inbound; l; l = l->next)
    if (!skips_inbound (l->data))
      names = g_list_prepend (names, ((mm_mesh_inbound_link *)l->data)->name);
  return names;
}

/* Builds and sends the update for an instance that knows the list up to
   @known_list_offset, and advances @known_list_offset.  */
static void
send_update (mm_link *link, uint64_t *known_list_offset,
             mm_mesh_build_update build, void *ctx)
{
  msgpack_sbuffer update, b;
  msgpack_sbuffer_init (&update);
  msgpack_sbuffer_init (&b);
  *known_list_offset = build (ctx, *known_list_offset, &update);
  mm_mesh_pack_update (&b, mm_clock_now_ms (), update.data, update.size);
  mm_link_send (link, &b);
  msgpack_sbuffer_destroy (&b);
  msgpack_sbuffer_destroy (&update);
}

/* Called for each link.  @name: the instance at its other end;
   @known_list_offset: offset up to which that instance knows the upstream
   list, which the visitor may change.  */
typedef void (*link_visitor) (mm_link *link, const char *name,
                              uint64_t *known_list_offset, void *ctx);

/* Calls @fn once for each connected instance whose name is known, with a link
   to it.  */
static void
for_each_link (mm_mesh *m, link_visitor fn, void *ctx)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_mesh_peer *p = v;
      if (p->connected)
        fn (p->link, p->info.name, &p->known_list_offset, ctx);
    }
  for (GList *l = m->inbound; l; l = l->next)
    {
      mm_mesh_inbound_link *in = l->data;
      if (!skips_inbound (in))
        fn (in->link, in->name, &in->known_list_offset, ctx);
    }
}

/* An update, and the instances to which it is sent.  */
typedef struct
{
  mm_mesh_build_update build;
  void *ctx;
  const char *only;   /* the one peer to notify, NULL: all */
  const char *except; /* a peer to leave out when all are notified, or NULL */
} recipients;

static void
notify_link (mm_link *link, const char *name, uint64_t *known_list_offset,
             void *ctx)
{
  const recipients *to = ctx;
  bool wanted = to->only ? strcmp (name, to->only) == 0
                         : g_strcmp0 (name, to->except) != 0;
  if (wanted)
    send_update (link, known_list_offset, to->build, to->ctx);
}

void
mm_mesh_notify (mm_mesh *m, mm_mesh_build_update build, void *ctx,
                const char *except)
{
  recipients to = { .build = build, .ctx = ctx, .except = except };
  for_each_link (m, notify_link, &to);
}

void
mm_mesh_notify_peer (mm_mesh *m, const char *peer, mm_mesh_build_update build,
                     void *ctx)
{
  recipients to = { .build = build, .ctx = ctx, .only = peer };
  for_each_link (m, notify_link, &to);
}

/* Argument of mm_mesh_set_known_list_offset() for its visitor.  */
typedef struct
{
  const char *peer;
  uint64_t known_list_offset;
} peer_offset;

static void
set_known (mm_link *link, const char *name, uint64_t *known_list_offset,
           void *ctx)
{
  const peer_offset *offset = ctx;
  if (strcmp (name, offset->peer) == 0)
    *known_list_offset = offset->known_list_offset;
}

void
mm_mesh_set_known_list_offset (mm_mesh *m, const char *peer,
                               uint64_t known_list_offset)
{
  peer_offset offset
      = { .peer = peer, .known_list_offset = known_list_offset };
  for_each_link (m, set_known, &offset);
}

void
mm_mesh_on_update (mm_mesh *m, mm_mesh_updated updated, void *ctx)
{
  m->updated = updated;
  m->update_ctx = ctx;
}

void
mm_mesh_handle_update (mm_mesh *m, const char *peer,
                       mm_queue_delay *queue_delay, const mm_mesh_msg *msg)
{
  mm_time_ms queue_delay_ms = mm_queue_delay_record_ms (
      queue_delay, msg->sent_ms, mm_clock_now_ms ());
  if (m->updated && peer)
    m->updated (m->update_ctx, peer, msg->data, msg->len, queue_delay_ms);
}
