/* mm_mesh_request: requests to and from other instances, and their answers. */
#include "mm_mesh_priv.h"

void
mm_mesh_handle_request (mm_mesh_inbound_link *in, const mm_mesh_msg *msg)
{
  mm_mesh *mesh = in->mesh;
  mm_mesh_inbound_request *request = NULL;
  if (!mesh->request_received)
    return;
  if (msg->number) /* 0: the sender expects no answer */
    {
      request = g_new (mm_mesh_inbound_request, 1);
      *request = (mm_mesh_inbound_request){ .to = in, .number = msg->number };
      in->requests = g_list_prepend (in->requests, request);
    }
  mesh->request_received (mesh->request_ctx, msg->verb, msg->data, msg->len,
                          request);
}

void
mm_mesh_on_request (mm_mesh *m, mm_mesh_request_received received, void *ctx)
{
  m->request_received = received;
  m->request_ctx = ctx;
}

void
mm_mesh_answer (mm_mesh_inbound_request *request, const void *data, size_t len)
{
  mm_mesh_inbound_link *in = request->to;
  if (in) /* NULL: the link of the request has closed */
    {
      in->requests = g_list_remove (in->requests, request);
      msgpack_sbuffer b;
      msgpack_sbuffer_init (&b);
      mm_mesh_pack_answer (&b, request->number, data, len);
      mm_link_send (in->link, &b);
      msgpack_sbuffer_destroy (&b);
    }
  g_free (request);
}

void
mm_mesh_request (mm_mesh *m, const char *peer_name, uint32_t verb,
                 const void *data, size_t len, mm_time_ms timeout_ms,
                 mm_answered answered, void *ctx)
{
  mm_mesh_peer *p = g_hash_table_lookup (m->peers, peer_name);
  if (!p || !p->connected)
    {
      if (answered)
        answered (ctx, false, NULL, 0);
      return;
    }
  mm_time_ms expires_ms = mm_clock_now_ms () + timeout_ms;
  uint64_t number
      = answered ? mm_requests_add (p->requests, expires_ms, answered, ctx)
                 : 0;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_request (&b, number, verb, data, len);
  mm_link_send (p->link, &b);
  msgpack_sbuffer_destroy (&b);
}
