/* resend_links: links between instances, as mm_mesh has them, see
   resend_fixture.h.  */
#include "resend_priv.h"

void
sim_message_free (gpointer p)
{
  message *m = p;
  g_free ((char *)m->request.service);
  g_free ((char *)m->request.payload);
  g_free ((char *)m->request.running_at);
  g_free (m);
}

/* Sends a message from one end of a link; @m now belongs to the link.  */
static void
send_message (link *l, int end, message *m)
{
  instance *from = l->end[end].at, *to = l->end[!end].at;
  GQueue *inbox = l->end[!end].inbox;
  const message *last = g_queue_peek_tail (inbox);
  m->delivery_ms = sim_now (from->s) + from->link_paths[to->index].delay_ms;
  if (last)
    m->delivery_ms = MAX (m->delivery_ms, last->delivery_ms);
  if (l->end[!end].open)
    g_queue_push_tail (inbox, m);
  else
    sim_message_free (m);
}

static message *
message_create (message_kind kind)
{
  message *m = g_new0 (message, 1);
  m->kind = kind;
  return m;
}

static void
send_heartbeat (link *l, int end)
{
  message *m = message_create (MSG_HEARTBEAT);
  l->end[end].heartbeat_ms = mm_clock_now_ms ();
  m->sent_ms = mm_clock_now_ms ();
  m->echo_ms = l->end[end].echo_ms;
  m->echo_age_ms = m->sent_ms - l->end[end].echo_received_ms;
  m->silent_ms = mm_owner_silent_ms (l->end[end].at->owner);
  send_message (l, end, m);
}

static link *
find_link (const instance *from, const instance *to)
{
  for (GList *g = from->s->links; g; g = g->next)
    {
      link *l = g->data;
      if (l->end[0].at == from && l->end[1].at == to && l->end[0].open)
        return l;
    }
  return NULL;
}

link *
sim_find_connected (const instance *from, const instance *to)
{
  link *l = find_link (from, to);
  return l && l->connected ? l : NULL;
}

static void
link_connect (instance *from, instance *to)
{
  sim *s = from->s;
  link *l = g_new0 (link, 1);
  l->sent = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  l->received
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (int e = 0; e < 2; e++)
    {
      instance *i = e ? to : from;
      l->end[e] = (link_end){ .at = i, .open = true };
      l->end[e].inbox = g_queue_new ();
      l->end[e].received_ms = sim_now (s) - i->clock_lag_ms;
    }
  l->heard_ms = l->awaited_ms = l->end[1].received_ms;
  s->links = g_list_append (s->links, l);
  send_heartbeat (l, 0);
}

void
sim_link_free (link *l)
{
  for (int e = 0; e < 2; e++)
    g_queue_free_full (l->end[e].inbox, sim_message_free);
  g_hash_table_destroy (l->sent);
  g_hash_table_destroy (l->received);
  g_free (l);
}

/* Reports the end of a task that was sent over a link, and frees @r.  */
static void
sent_run_ended (sent_run *r, const mm_work_result *res)
{
  if (r->done)
    r->done (r->ctx, res);
  else if (r->sub)
    {
      r->sub->sent = NULL;
      sim_on_submission_ended (r->sub, res->how);
    }
  else
    mm_owner_transferred_end (r->work, res);
  g_free (r);
}

/* Closes one end of a link: the sender's tasks are in doubt, and the receiver
   cancels those that it got.  */
static void
close_end (link *l, int end)
{
  if (!l->end[end].open)
    return;
  l->end[end].open = false;
  send_message (l, end, message_create (MSG_CLOSE));
  GHashTableIter it;
  gpointer v;
  if (end == 0)
    while (g_hash_table_iter_init (&it, l->sent),
           g_hash_table_iter_next (&it, NULL, &v))
      {
        g_hash_table_iter_steal (&it);
        bool reserved = ((sent_run *)v)->offered;
        mm_work_result lost
            = { .how = reserved ? MM_END_NOT_RUN : MM_END_UNKNOWN,
                .why = "link lost" };
        sent_run_ended (v, &lost);
      }
  else
    {
      g_hash_table_iter_init (&it, l->received);
      while (g_hash_table_iter_next (&it, NULL, &v))
        mm_owner_cancel (l->end[1].at->owner, ((received_run *)v)->work);
      g_hash_table_remove_all (l->received);
    }
}

static void
on_received_run_done (void *ctx, const mm_work_result *r)
{
  received_run *received = ctx;
  link *l = received->via;
  message *m = message_create (MSG_ENDED);
  m->number = received->number;
  m->how = r->how;
  m->run = r->run;
  g_strlcpy (m->upstream, r->upstream ? r->upstream : "", sizeof m->upstream);
  send_message (l, 1, m);
  g_hash_table_remove (l->received, &received->number);
}

static void
on_received_run_offered (void *ctx)
{
  const received_run *r = ctx;
  message *m = message_create (MSG_OFFER);
  m->number = r->number;
  send_message (r->via, 1, m);
}

static void
receive_run (link *l, message *m)
{
  l->awaited_ms = MIN (l->awaited_ms, l->heard_ms - m->request.silent_ms);
  m->request.awaited_ms = &l->awaited_ms;
  received_run *r = g_new0 (received_run, 1);
  r->via = l;
  r->number = m->number;
  g_hash_table_insert (l->received, &r->number, r);
  mm_owner *o = l->end[1].at->owner;
  r->work = m->kind == MSG_RUN
                ? mm_owner_submit (o, &m->request, on_received_run_done, r)
                : mm_owner_reserve (o, &m->request, 1, on_received_run_offered,
                                    on_received_run_done, r);
}

static void
receive_offer (link *l, const message *m)
{
  sent_run *r = g_hash_table_lookup (l->sent, &m->number);
  if (r && r->offered)
    r->offered (r->ctx);
}

static void
receive_accept (link *l, const message *m)
{
  received_run *r = g_hash_table_lookup (l->received, &m->number);
  if (r)
    mm_owner_accept (l->end[1].at->owner, r->work, m->request.payload);
}

static void
receive_cancel (link *l, const message *m)
{
  received_run *r = g_hash_table_lookup (l->received, &m->number);
  if (!r)
    return;
  mm_owner_withdraw (l->end[1].at->owner, r->work);
  g_hash_table_remove (l->received, &m->number);
}

static sent_run *
send_task (link *l, const mm_task_request *t, message_kind kind)
{
  sent_run *r = g_new0 (sent_run, 1);
  r->via = l;
  r->number = ++l->last_number;
  g_hash_table_insert (l->sent, &r->number, r);
  message *m = message_create (kind);
  m->number = r->number;
  m->request = *t;
  m->request.service = g_strdup (t->service);
  m->request.payload = kind == MSG_RUN ? g_strdup (t->payload) : NULL;
  m->request.running_at = g_strdup (t->running_at);
  send_message (l, 0, m);
  return r;
}

sent_run *
sim_send_run (link *l, const mm_task_request *t)
{
  return send_task (l, t, MSG_RUN);
}

sent_run *
sim_send_reserve (link *l, const mm_task_request *t)
{
  return send_task (l, t, MSG_RESERVE);
}

void
sim_send_accept (sent_run *r, const char *payload)
{
  message *m = message_create (MSG_ACCEPT);
  m->number = r->number;
  m->request.payload = g_strdup (payload);
  r->offered = NULL;
  send_message (r->via, 0, m);
}

void
sim_cancel_sent (sent_run *r)
{
  link *l = r->via;
  message *m = message_create (MSG_CANCEL);
  m->number = r->number;
  g_hash_table_remove (l->sent, &r->number);
  send_message (l, 0, m);
}

/* Passes a run that another owner has found to that owner, if its task was
   submitted here.  */
static void
receive_found (link *l, const message *m)
{
  instance *self = l->end[1].at;
  link *back = sim_find_connected (self, l->end[0].at);
  mm_task_request t;
  mm_found_run found = m->found;
  found.upstream = m->upstream;
  mm_work *w = back ? mm_owner_claim (self->owner, &found, &t) : NULL;
  if (!w)
    return;
  sent_run *r = sim_send_run (back, &t);
  r->work = w;
  mm_owner_transfer (self->owner, w, r);
}

static void
receive_ended (link *l, const message *m)
{
  sent_run *r = g_hash_table_lookup (l->sent, &m->number);
  if (!r)
    return;
  g_hash_table_steal (l->sent, &m->number);
  mm_work_result res
      = { .how = m->how, .upstream = m->upstream, .run = m->run };
  sent_run_ended (r, &res);
}

static void
receive_heartbeat (link *l, int end, const message *m)
{
  mm_time_ms now = mm_clock_now_ms ();
  l->connected = l->connected || end == 0;
  l->end[end].echo_ms = m->sent_ms;
  l->end[end].echo_received_ms = now;
  if (end == 0)
    return;
  if (m->echo_ms)
    l->heard_ms = MIN (m->echo_ms + m->echo_age_ms, now);
  l->awaited_ms = l->heard_ms - m->silent_ms;
}

static void
receive (link *l, int end, message *m)
{
  l->end[end].received_ms = mm_clock_now_ms ();
  switch (m->kind)
    {
    case MSG_HEARTBEAT:
      receive_heartbeat (l, end, m);
      break;
    case MSG_RUN:
    case MSG_RESERVE:
      receive_run (l, m);
      break;
    case MSG_OFFER:
      receive_offer (l, m);
      break;
    case MSG_ACCEPT:
      receive_accept (l, m);
      break;
    case MSG_CANCEL:
      receive_cancel (l, m);
      break;
    case MSG_FOUND:
      receive_found (l, m);
      break;
    case MSG_ENDED:
      receive_ended (l, m);
      break;
    case MSG_CLOSE:
      close_end (l, end);
      break;
    }
}

/* Reads the messages that have arrived at one end of a link.  */
static void
read_end (link *l, int end)
{
  link_end *e = &l->end[end];
  message *m;
  while (e->open && !l->end[!end].at->link_paths[e->at->index].cut
         && (m = g_queue_peek_head (e->inbox))
         && sim_now (e->at->s) >= m->delivery_ms)
    {
      g_queue_pop_head (e->inbox);
      receive (l, end, m);
      sim_message_free (m);
    }
}

void
sim_read_links (instance *i)
{
  if (i->read_every_ms && sim_now (i->s) % i->read_every_ms != 0)
    return;
  for (GList *g = i->s->links; g; g = g->next)
    for (int e = 0; e < 2; e++)
      if (((link *)g->data)->end[e].at == i)
        read_end (g->data, e);
}

static void
tick_end (link *l, int end)
{
  link_end *e = &l->end[end];
  mm_time_ms now = mm_clock_now_ms ();
  if (e->open && now - e->received_ms > MM_MESH_TIMEOUT_MS)
    close_end (l, end);
  if (e->open && now - e->heartbeat_ms >= MM_MESH_HEARTBEAT_MS)
    send_heartbeat (l, end);
}

void
sim_tick_links (instance *i)
{
  sim *s = i->s;
  for (GList *g = s->links; g; g = g->next)
    for (int e = 0; e < 2; e++)
      if (((link *)g->data)->end[e].at == i)
        tick_end (g->data, e);
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      instance *to = &s->instances[k];
      bool reachable = sim_is_awake (to) && !i->link_paths[k].cut
                       && !to->link_paths[i->index].cut;
      if (to == i || find_link (i, to)
          || sim_now (s) - i->connect_tried_ms[k] < MM_MESH_RECONNECT_MS)
        continue;
      i->connect_tried_ms[k] = sim_now (s);
      if (reachable)
        link_connect (i, to);
    }
}

void
sim_close_links (instance *i)
{
  for (GList *g = i->s->links; g; g = g->next)
    for (int e = 0; e < 2; e++)
      if (((link *)g->data)->end[e].at == i)
        close_end (g->data, e);
}

void
sim_close_link (sim *s, int from, int to, int end)
{
  link *l = find_link (&s->instances[from], &s->instances[to]);
  if (!l || !sim_is_awake (l->end[end].at))
    return;
  const instance *before = sim_enter (l->end[end].at);
  g_queue_clear_full (l->end[end].inbox, sim_message_free);
  close_end (l, end);
  s->instances[from].connect_tried_ms[to] = 0;
  sim_leave (s, before);
}

void
sim_free_closed_links (sim *s)
{
  GList *next;
  for (GList *g = s->links; g; g = next)
    {
      link *l = g->data;
      next = g->next;
      if (l->end[0].open || l->end[1].open)
        continue;
      s->links = g_list_delete_link (s->links, g);
      sim_link_free (l);
    }
}

void
sim_on_found (void *ctx, const mm_found_run *r)
{
  instance *self = ctx;
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      link *l = sim_find_connected (self, &self->s->instances[k]);
      if (!l)
        continue;
      message *m = message_create (MSG_FOUND);
      m->found = *r;
      g_strlcpy (m->upstream, r->upstream, sizeof m->upstream);
      send_message (l, 0, m);
    }
}

void
sim_on_cancel_transfer (void *ctx, void *transfer)
{
  sim_cancel_sent (transfer);
}
