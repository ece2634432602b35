/* mm_mesh_news: what all instances in touch are told, over links of either
   direction.  */
#include "mm_mesh_priv.h"

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
  mm_mesh_pack_news (&b, news.data, news.size);
  mm_link_send (link, &b);
  msgpack_sbuffer_destroy (&b);
  msgpack_sbuffer_destroy (&news);
}

void
mm_mesh_tell_news (mm_mesh *m, mm_mesh_news_for make, void *ctx,
                   const char *but_not)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_mesh_peer *p = v;
      if (p->connected && g_strcmp0 (p->info.name, but_not) != 0)
        tell (p->link, &p->told_upto, make, ctx);
    }
  for (GList *l = m->inbound; l; l = l->next)
    {
      mm_mesh_inbound_link *in = l->data;
      if (!heard_otherwise (in) && g_strcmp0 (in->name, but_not) != 0)
        tell (in->link, &in->told_upto, make, ctx);
    }
}

void
mm_mesh_on_news (mm_mesh *m, mm_mesh_news heard, void *ctx)
{
  m->news = heard;
  m->news_ctx = ctx;
}

void
mm_mesh_take_news (mm_mesh *m, const char *peer, const mm_mesh_msg *msg)
{
  if (m->news && peer)
    m->news (m->news_ctx, peer, msg->data, msg->len);
}
