/* mm_mesh_reserve: reservations at peers, and those of peers here.

   Home: RESERVE, then ACCEPT after the first OFFER, or CANCEL.  Owner: OFFER
   once capacity is set aside, ENDED when the reservation or the accepted task
   has ended.  A reservation that has ended is unknown here, so that an ACCEPT
   or OFFER that crosses its end is ignored.  */
#include "mm_mesh_priv.h"

#include <math.h>

/* ---- the owner ---------------------------------------------------------- */

static void
on_offered (void *ctx)
{
  mm_mesh_inbound_task *t = ctx;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_offer (&b, t->number);
  mm_link_send (t->inbound->link, &b);
  msgpack_sbuffer_destroy (&b);
}

/* Queues the reservation of a peer.  A number that is in use for another task
   on the link is ignored.  */
void
mm_mesh_handle_reserve (mm_mesh_inbound_link *in, mm_mesh_msg *msg)
{
  mm_mesh_inbound_task *t = mm_mesh_add_inbound_task (in, msg);
  if (t)
    t->work = mm_owner_reserve (in->mesh->owner, &msg->request, msg->copies,
                                on_offered, mm_mesh_on_inbound_task_done, t);
}

void
mm_mesh_handle_accept (mm_mesh_inbound_link *in, const mm_mesh_msg *msg)
{
  mm_mesh_inbound_task *t = g_hash_table_lookup (in->tasks, &msg->number);
  if (t)
    mm_owner_accept (in->mesh->owner, t->work, msg->request.payload);
}

/* ---- the home ----------------------------------------------------------- */

/* Passes on an offer, unless the reservation was cancelled or accepted.  */
void
mm_mesh_handle_offer (mm_mesh_peer *p, const mm_mesh_msg *msg)
{
  mm_remote_task *r = g_hash_table_lookup (p->remote_tasks, &msg->number);
  if (r && r->offered)
    r->offered (r->ctx);
}

/**
 * mm_mesh_reserve() - reserve at a peer for a task.
 * @m: the mesh.
 * @peer_name: name of a connected peer.
 * @t: the task; its payload is not sent.
 * @copies: number of owners at which the task has reservations.
 * @offered: called when the peer has set capacity aside, after this function
 *           has returned.
 * @done: called once, after this function has returned, unless the
 *        reservation is cancelled before.
 * @ctx: for @offered and @done.
 *
 * Return: a handle for mm_mesh_accept() and mm_mesh_cancel(), valid until
 * @done is called, or NULL when the peer is not connected.
 */
mm_remote_task *
mm_mesh_reserve (mm_mesh *m, const char *peer_name, const mm_task_request *t,
                 uint32_t copies, mm_work_offered offered, mm_work_done done,
                 void *ctx)
{
  mm_mesh_peer *p = g_hash_table_lookup (m->peers, peer_name);
  if (!p || !p->connected)
    return NULL;
  mm_remote_task *r = g_new0 (mm_remote_task, 1);
  r->peer = p;
  r->number = ++p->last_number;
  r->cpu_milli = t->resources.cpu_milli;
  r->copies = MAX (copies, 1);
  r->yields = t->yields;
  r->offered = offered;
  r->done = done;
  r->ctx = ctx;
  g_hash_table_insert (p->remote_tasks, &r->number, r);
  g_array_append_val (p->unseen_reserves, r->number);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_reserve (&b, r->number, r->copies, t);
  mm_owner_record_sent (m->owner, b.size);
  mm_link_send (p->link, &b);
  msgpack_sbuffer_destroy (&b);
  return r;
}

void
mm_mesh_accept (mm_mesh *m, mm_remote_task *r, const char *payload)
{
  r->offered = NULL;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_accept (&b, r->number, payload);
  mm_owner_record_sent (m->owner, b.size);
  mm_link_send (r->peer->link, &b);
  msgpack_sbuffer_destroy (&b);
}

void
mm_mesh_forget_seen_reserves (mm_mesh_peer *p)
{
  guint n = 0;
  while (n < p->unseen_reserves->len
         && g_array_index (p->unseen_reserves, uint64_t, n) <= p->seen_number)
    n++;
  g_array_remove_range (p->unseen_reserves, 0, n);
}

uint64_t
mm_mesh_count_unseen_reserves (const mm_mesh_peer *p, mm_capacity_report *r)
{
  uint64_t n_accepted = 0;
  double waiting = 0, yielding = 0;
  for (guint i = 0; i < p->unseen_reserves->len; i++)
    {
      uint64_t number = g_array_index (p->unseen_reserves, uint64_t, i);
      const mm_remote_task *t = g_hash_table_lookup (p->remote_tasks, &number);
      if (t && t->offered)
        waiting += 1.0 / t->copies;
      if (t && t->offered && t->yields)
        yielding += 1.0 / t->copies;
      n_accepted += t && !t->offered;
    }
  /* The priority of these is not known here, see capacity_of_peer().  */
  r->waiting += (uint32_t)lround (waiting);
  uint32_t ahead = (uint32_t)lround (waiting - yielding);
  r->waiting_by_priority[0] += ahead;
  r->waiting_unseen += ahead;
  return p->unseen_reserves->len - n_accepted;
}
