/* mm_mesh_ask: questions to and from other instances over the links.  */
#include "mm_mesh_priv.h"

void
mm_mesh_take_ask (mm_mesh_inbound_link *in, const mm_mesh_msg *m)
{
  mm_mesh *mesh = in->mesh;
  mm_mesh_reply *r = NULL;
  if (!mesh->asked)
    return;
  if (m->no)
    {
      r = g_new (mm_mesh_reply, 1);
      *r = (mm_mesh_reply){ .to = in, .no = m->no };
      in->replies = g_list_prepend (in->replies, r);
    }
  mesh->asked (mesh->asked_ctx, m->verb, m->data, m->len, r);
}

void
mm_mesh_on_asked (mm_mesh *m, mm_mesh_asked asked, void *ctx)
{
  m->asked = asked;
  m->asked_ctx = ctx;
}

void
mm_mesh_answer (mm_mesh_reply *reply, const void *data, size_t len)
{
  mm_mesh_inbound_link *in = reply->to;
  if (in)
    {
      in->replies = g_list_remove (in->replies, reply);
      msgpack_sbuffer b;
      msgpack_sbuffer_init (&b);
      mm_mesh_pack_told (&b, reply->no, data, len);
      mm_link_send (in->link, &b);
      msgpack_sbuffer_destroy (&b);
    }
  g_free (reply);
}

void
mm_mesh_ask (mm_mesh *m, const char *peer_name, uint32_t verb,
             const void *data, size_t len, mm_time_ms timeout_ms,
             mm_answered told, void *ctx)
{
  mm_mesh_peer *p = g_hash_table_lookup (m->peers, peer_name);
  if (!p || !p->connected)
    {
      if (told)
        told (ctx, false, NULL, 0);
      return;
    }
  mm_time_ms until_ms = mm_clock_now_ms () + timeout_ms;
  uint64_t no = told ? mm_requests_add (p->questions, until_ms, told, ctx) : 0;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_ask (&b, no, verb, data, len);
  mm_link_send (p->link, &b);
  msgpack_sbuffer_destroy (&b);
}
