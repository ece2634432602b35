/* mm_mesh_loss: instances notify each other of lost upstreams.

   An instance forwards each loss that is new to it over all its links.  To an
   instance that opens a link it sends all losses that it knows, so that an
   instance that has just started knows which tasks have crashed upstreams.  */
#include "mm_mesh_priv.h"

/* Sends a new or changed loss over the links of both directions.  An instance
   that receives a task's end over its own link to this instance must receive
   the loss before that end: otherwise it does not know that the task may be a
   poison task, and runs it again.  */
static void
on_loss_changed (void *ctx, const mm_loss *l)
{
  mm_mesh *m = ctx;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_loss (&b, l);
  for (GList *in = m->inbound; in; in = in->next)
    mm_link_send (((mm_mesh_inbound_link *)in->data)->link, &b);
  mm_mesh_send_all (m, &b);
  msgpack_sbuffer_destroy (&b);
}

void
mm_mesh_set_suspects (mm_mesh *m, mm_suspects *s)
{
  m->suspects = s;
  mm_suspects_on_changed (s, on_loss_changed, m);
}

void
mm_mesh_handle_loss (mm_mesh *m, const mm_mesh_msg *msg)
{
  if (m->suspects)
    mm_suspects_record (m->suspects, &msg->loss);
}

static void
send_loss (void *ctx, const mm_loss *l)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_loss (&b, l);
  mm_link_send (ctx, &b);
  msgpack_sbuffer_destroy (&b);
}

void
mm_mesh_send_losses (mm_mesh *m, mm_link *link)
{
  if (m->suspects)
    mm_suspects_foreach (m->suspects, send_loss, link);
}
