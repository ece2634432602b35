/* mm_mesh_kinds: owners send the kinds of their upstreams to the instances
   that dispatch tasks to them.

   The kinds change far less often than the free capacity, so they are not part
   of the reports.  */
#include "mm_mesh_priv.h"

#include "config.h"

#include <string.h>

void
mm_mesh_update_kinds (mm_mesh *m, mm_time_ms now)
{
  m->kinds_packed_ms = now;
  mm_upstream_kinds *kinds = mm_owner_kinds (m->owner);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_kinds (&b, kinds);
  bool same
      = b.size == m->kinds.size && memcmp (b.data, m->kinds.data, b.size) == 0;
  if (!same)
    {
      msgpack_sbuffer old = m->kinds;
      m->kinds = b;
      b = old;
      m->kinds_version++;
    }
  msgpack_sbuffer_destroy (&b);
  mm_upstream_kinds_destroy (kinds);
}

void
mm_mesh_send_kinds (mm_mesh_inbound_link *in)
{
  const mm_mesh *m = in->mesh;
  if (in->kinds_version == m->kinds_version)
    return;
  in->kinds_version = m->kinds_version;
  mm_link_send (in->link, &m->kinds);
}

void
mm_mesh_handle_kinds (mm_mesh_peer *p, mm_mesh_msg *msg)
{
  mm_upstream_kinds_destroy (p->kinds);
  p->kinds = g_steal_pointer (&msg->kinds);
}
