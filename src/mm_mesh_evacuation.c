/* mm_mesh_evacuation: instances send each other the evacuations in force, when
   a link opens and when they change.  An instance that cannot reach the store
   learns of evacuations that way.  */
#include "mm_mesh_priv.h"

void
mm_mesh_set_evacuations (mm_mesh *m, mm_evacuations *e)
{
  m->evacuations = e;
}

/* Packs the evacuations in force.  Returns false while none are known.  */
static bool
pack (const mm_mesh *m, msgpack_sbuffer *b)
{
  if (!m->evacuations || !mm_evacuations_known (m->evacuations))
    return false;
  mm_evacuations_view v = mm_evacuations_view_of (m->evacuations);
  mm_mesh_pack_evacuations (b, &v);
  mm_evacuations_view_clear (&v);
  return true;
}

void
mm_mesh_send_evacuations (mm_mesh *m, mm_link *link)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  if (pack (m, &b))
    mm_link_send (link, &b);
  msgpack_sbuffer_destroy (&b);
}

void
mm_mesh_notify_evacuations (mm_mesh *m)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  if (pack (m, &b))
    {
      for (GList *in = m->inbound; in; in = in->next)
        mm_link_send (((mm_mesh_inbound_link *)in->data)->link, &b);
      mm_mesh_send_all (m, &b);
    }
  msgpack_sbuffer_destroy (&b);
}

void
mm_mesh_handle_evacuations (mm_mesh *m, const char *peer,
                            const mm_mesh_msg *msg)
{
  if (m->evacuations && peer)
    mm_evacuations_receive (m->evacuations, peer, &msg->evacuations);
}
