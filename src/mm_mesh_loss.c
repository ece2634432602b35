/* mm_mesh_loss: instances pass upstreams that were lost on to each other.

   Each passes on what is new to it over all its links, and to whoever links to
   it all that it knows, so that an instance that has just started knows which
   tasks have crashed upstreams.  */
#include "mm_mesh_priv.h"

/* Over links of both directions: an instance that hears of a task's end over
   its own link to us must hear of the loss first, or it runs the task again.
 */
static void
on_changed (void *ctx, const mm_loss *l)
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
  mm_suspects_on_changed (s, on_changed, m);
}

void
mm_mesh_take_loss (mm_mesh *m, const mm_mesh_msg *msg)
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
