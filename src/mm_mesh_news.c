/* mm_mesh_news: what all instances in touch are told, over links of either
   direction.  */
#include "mm_mesh_priv.h"

#include <string.h>

/* An instance that we are linked to and that is linked to us hears it once. */
static bool
heard_otherwise (const mm_mesh_inbound_link *in)
{
  return !in->name || mm_mesh_is_connected (in->mesh, in->name);
}

GList *
mm_mesh_linked (const mm_mesh *m)
{
  GList *names = mm_mesh_peers (m);
  for (GList *l = m->inbound; l; l = l->next)
    if (!heard_otherwise (l->data))
      names = g_list_prepend (names, ((mm_mesh_inbound_link *)l->data)->name);
  return names;
}

static void
tell (mm_link *link, uint64_t *told_upto, mm_mesh_news_for make, void *ctx)
{
  msgpack_sbuffer news, b;
  msgpack_sbuffer_init (&news);
  msgpack_sbuffer_init (&b);
  *told_upto = make (ctx, *told_upto, &news);
  mm_mesh_pack_news (&b, mm_clock_now_ms (), news.data, news.size);
  mm_link_send (link, &b);
  msgpack_sbuffer_destroy (&b);
  msgpack_sbuffer_destroy (&news);
}

/* A link that news go over, and how far they went.  */
typedef void (*news_link) (mm_link *link, const char *name,
                           uint64_t *told_upto, void *ctx);

static void
for_each_link (mm_mesh *m, news_link fn, void *ctx)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_mesh_peer *p = v;
      if (p->connected)
        fn (p->link, p->info.name, &p->told_upto, ctx);
    }
  for (GList *l = m->inbound; l; l = l->next)
    {
      mm_mesh_inbound_link *in = l->data;
      if (!heard_otherwise (in))
        fn (in->link, in->name, &in->told_upto, ctx);
    }
}

typedef struct
{
  mm_mesh_news_for make;
  void *ctx;
  const char *only;    /* NULL: all ... */
  const char *but_not; /* ... but this one */
} news_to;

static void
tell_link (mm_link *link, const char *name, uint64_t *told_upto, void *ctx)
{
  const news_to *to = ctx;
  bool wanted = to->only ? strcmp (name, to->only) == 0
                         : g_strcmp0 (name, to->but_not) != 0;
  if (wanted)
    tell (link, told_upto, to->make, to->ctx);
}

void
mm_mesh_tell_news (mm_mesh *m, mm_mesh_news_for make, void *ctx,
                   const char *but_not)
{
  news_to to = { .make = make, .ctx = ctx, .but_not = but_not };
  for_each_link (m, tell_link, &to);
}

void
mm_mesh_tell_news_to (mm_mesh *m, const char *peer, mm_mesh_news_for make,
                      void *ctx)
{
  news_to to = { .make = make, .ctx = ctx, .only = peer };
  for_each_link (m, tell_link, &to);
}

typedef struct
{
  const char *peer;
  uint64_t upto;
} told;

static void
set_told (mm_link *link, const char *name, uint64_t *told_upto, void *ctx)
{
  const told *t = ctx;
  if (strcmp (name, t->peer) == 0)
    *told_upto = t->upto;
}

void
mm_mesh_set_told (mm_mesh *m, const char *peer, uint64_t upto)
{
  told t = { .peer = peer, .upto = upto };
  for_each_link (m, set_told, &t);
}

void
mm_mesh_on_news (mm_mesh *m, mm_mesh_news heard, void *ctx)
{
  m->news = heard;
  m->news_ctx = ctx;
}

void
mm_mesh_take_news (mm_mesh *m, const char *peer, mm_transit *transit,
                   const mm_mesh_msg *msg)
{
  mm_time_ms held_up_ms
      = mm_transit_held_up_ms (transit, msg->sent_ms, mm_clock_now_ms ());
  if (m->news && peer)
    m->news (m->news_ctx, peer, msg->data, msg->len, held_up_ms);
}
