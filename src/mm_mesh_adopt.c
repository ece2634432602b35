/* mm_mesh_adopt: passes runs found at an upstream to its new owner.

   An owner that finds a run started by an earlier owner notifies all connected
   peers.  The instance that has the task then dispatches it to the sender of
   the notification, marked as already running.  */
#include "mm_mesh_priv.h"

#include "config.h"

/* Notifies the peers of a run that this instance found at its upstream.  With
   transferred runs, the notification also goes over the links that the peers
   have opened: an instance that releases an upstream has a link to the next
   owner, which may have none to it.  Instances of earlier versions close a
   link on which that arrives, so the setting is to be used only when all
   instances know it.  */
static void
on_found (void *ctx, const mm_found_run *r)
{
  mm_mesh *m = ctx;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_found (&b, r);
  mm_mesh_send_all (m, &b);
  for (GList *l = m->transfer_runs ? m->inbound : NULL; l; l = l->next)
    mm_link_send (((mm_mesh_inbound_link *)l->data)->link, &b);
  msgpack_sbuffer_destroy (&b);
}

/* Cancels a task that was transferred to the next owner of its upstream.  */
static void
on_cancel (void *ctx, void *remote_task)
{
  mm_mesh_cancel (ctx, remote_task);
}

void
mm_mesh_attach_owner (mm_mesh *m)
{
  if (!MM_WITH_ADOPTION)
    return;
  mm_owner_transfer_port port
      = { .found = on_found, .cancel = on_cancel, .ctx = m };
  mm_owner_set_transfer_port (m->owner, &port);
}

/* A run is transferred over this instance's own link to the sender of the
   notification.  Without that link, the notification is ignored.  */
void
mm_mesh_handle_found (mm_mesh *m, const char *peer, const mm_mesh_msg *msg)
{
  mm_task_request t;
  if (!peer || !mm_mesh_is_connected (m, peer))
    return;
  mm_work *w = mm_owner_claim (m->owner, &msg->found, &t);
  if (w)
    mm_owner_transfer (
        m->owner, w,
        mm_mesh_submit (m, peer, &t, mm_owner_transferred_end, w));
}

void
mm_mesh_set_transfer_runs (mm_mesh *m, bool transfer_runs)
{
  m->transfer_runs = transfer_runs;
}
