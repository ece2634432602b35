/* mm_mesh: links to and from the other instances.

   Each instance opens links to some others (mm_neighbours) and dispatches
   tasks over them.  When a link breaks or the peer is unresponsive, the tasks
   on the link end: the owner stops those that it received over the link, as
   their callers may send the job to another instance, and the sender reports
   them as in doubt.  */
#define _GNU_SOURCE
#include "mm_mesh_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Reasons for closing a link, compared by address.  */
static const char why_unresponsive[] = "silent";
static const char why_unneeded[] = "not a neighbour any more";
static const char why_stalled[] = "this instance stood still";

/* ---- inbound links: the owner of upstreams ---------------------------- */

void
mm_mesh_on_inbound_task_done (void *ctx, const mm_work_result *r)
{
  mm_mesh_inbound_task *t = ctx;
  mm_mesh_inbound_link *in = t->inbound;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_ended (&b, t->number, r);
  mm_link_send (in->link, &b);
  msgpack_sbuffer_destroy (&b);
  g_hash_table_remove (in->tasks, &t->number);
}

mm_mesh_inbound_task *
mm_mesh_add_inbound_task (mm_mesh_inbound_link *in, mm_mesh_msg *msg)
{
  if (g_hash_table_contains (in->tasks, &msg->number))
    return NULL;
  in->awaited_ms = MIN (in->awaited_ms, in->heard_ms - msg->request.silent_ms);
  msg->request.awaited_ms = &in->awaited_ms;
  mm_mesh_inbound_task *t = g_new0 (mm_mesh_inbound_task, 1);
  t->inbound = in;
  t->number = msg->number;
  in->seen_number = MAX (in->seen_number, msg->number);
  g_hash_table_insert (in->tasks, &t->number, t);
  return t;
}

/* Submits a task that a peer dispatched to this instance.  A number that is in
   use for another task on the link is ignored.  */
static void
handle_run (mm_mesh_inbound_link *in, mm_mesh_msg *msg)
{
  mm_mesh_inbound_task *t = mm_mesh_add_inbound_task (in, msg);
  if (!t)
    return;
  t->work = mm_owner_submit (in->mesh->owner, &msg->request,
                             mm_mesh_on_inbound_task_done, t);
  if (msg->request.start_within_ms == 0)
    mm_owner_return_waiting (in->mesh->owner, t->work);
}

static void
handle_cancel (mm_mesh_inbound_link *in, uint64_t number)
{
  mm_mesh_inbound_task *t = g_hash_table_lookup (in->tasks, &number);
  if (!t)
    return;
  mm_owner_withdraw (in->mesh->owner, t->work);
  g_hash_table_remove (in->tasks, &number);
}

/* Records when the callers of the tasks on the link were last known to wait.
   The time at which the heartbeat was sent is computed from the report that it
   names, on this instance's clock.  Its time of arrival is not used: it may
   have been delayed on the way, or while this instance had no processor
   time.  */
static void
handle_heartbeat (mm_mesh_inbound_link *in, const mm_mesh_msg *msg)
{
  if (msg->echo_ms)
    in->heard_ms = MIN (msg->echo_ms + msg->echo_age_ms, mm_clock_now_ms ());
  in->awaited_ms = in->heard_ms - msg->silent_ms;
}

static void
handle_hello (mm_mesh_inbound_link *in, const mm_mesh_msg *msg)
{
  g_free (in->name);
  in->name = g_strdup (msg->name);
  mm_mesh_send_losses (in->mesh, in->link);
  mm_mesh_send_evacuations (in->mesh, in->link);
  if (in->mesh->hello)
    in->mesh->hello (in->mesh->hello_ctx, msg->name);
}

/* Returns whether a message that could not be read is ignored; logs it.  Its
   link stays open: the sender's other messages do not depend on it.  */
static bool
ignore_unread (const mm_mesh_msg *msg, const char *peer)
{
  const char *name = mm_mesh_msg_state_name (msg);
  if (name)
    mm_log_event (MM_EV_PEER_MESSAGE_UNREAD, MM_TEXT (peer), MM_TEXT (name));
  return name != NULL;
}

/* Handles a message from the instance that opened the link.  Returning false
   closes the link as malformed.  */
static bool
on_inbound_object (void *ctx, const msgpack_object *o)
{
  mm_mesh_inbound_link *in = ctx;
  mm_mesh_msg msg;
  bool ok = mm_mesh_msg_read (o, &msg);
  if (!ok)
    ok = ignore_unread (&msg, in->name);
  else if (msg.kind == MM_MESH_RUN)
    handle_run (in, &msg);
  else if (msg.kind == MM_MESH_RESERVE)
    mm_mesh_handle_reserve (in, &msg);
  else if (msg.kind == MM_MESH_ACCEPT)
    mm_mesh_handle_accept (in, &msg);
  else if (msg.kind == MM_MESH_CANCEL)
    handle_cancel (in, msg.number);
  else if (msg.kind == MM_MESH_REQUEST)
    mm_mesh_handle_request (in, &msg);
  else if (msg.kind == MM_MESH_RELEASED && in->mesh->released)
    in->mesh->released (in->mesh->released_ctx, msg.name);
  else if (msg.kind == MM_MESH_FOUND)
    mm_mesh_handle_found (in->mesh, in->name, &msg);
  else if (msg.kind == MM_MESH_UPDATE)
    mm_mesh_handle_update (in->mesh, in->name, &in->queue_delay, &msg);
  else if (msg.kind == MM_MESH_LOSS)
    mm_mesh_handle_loss (in->mesh, &msg);
  else if (msg.kind == MM_MESH_EVACUATIONS)
    mm_mesh_handle_evacuations (in->mesh, in->name, &msg);
  else if (msg.kind == MM_MESH_HELLO)
    handle_hello (in, &msg);
  else if (msg.kind == MM_MESH_HEARTBEAT)
    handle_heartbeat (in, &msg);
  else /* a RELEASED message is ignored when no callback is set */
    ok = msg.kind == MM_MESH_RELEASED;
  mm_mesh_msg_clear (&msg);
  return ok;
}

/* Stops the tasks received over a link that has closed, as their callers may
   send the job again to another instance.  */
static void
on_inbound_closed (void *ctx, const char *why)
{
  mm_mesh_inbound_link *in = ctx;
  mm_mesh *m = in->mesh;
  guint n = g_hash_table_size (in->tasks);
  if (n)
    mm_log_event (MM_EV_SENDER_LOST, MM_TEXT (why), MM_INT (n),
                  MM_TEXT (in->name),
                  MM_INT (mm_clock_now_ms () - in->awaited_ms));
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, in->tasks);
  while (g_hash_table_iter_next (&it, NULL, &v))
    mm_owner_cancel (m->owner, ((mm_mesh_inbound_task *)v)->work);
  g_hash_table_destroy (in->tasks);
  for (GList *l = in->requests; l; l = l->next)
    ((mm_mesh_inbound_request *)l->data)->to = NULL;
  g_list_free (in->requests);
  g_byte_array_free (in->last_report, TRUE);
  g_free (in->name);
  m->inbound = g_list_remove (m->inbound, in);
  g_free (in);
}

/* Accepts a link that another instance opens.  */
static void
accept_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  mm_mesh *m = w->data;
  int fd = accept4 (m->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  mm_mesh_inbound_link *in = g_new0 (mm_mesh_inbound_link, 1);
  in->mesh = m;
  in->tasks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  in->last_report = g_byte_array_new ();
  in->heard_ms = in->awaited_ms = mm_clock_now_ms ();
  mm_link_events ev = { .object = on_inbound_object,
                        .closed = on_inbound_closed,
                        .ctx = in };
  in->link = mm_link_adopt (loop, fd, &ev);
  m->inbound = g_list_prepend (m->inbound, in);
}

/* Fills @out with the capacity of this instance for each service.  Returns the
   number of services, MM_MESH_MAX_SERVICES at most.  */
static size_t
read_capacities (mm_owner *o, mm_mesh_service_capacity *out)
{
  size_t n = 0;
  GList *services = mm_owner_services (o);
  for (GList *l = services; l && n < MM_MESH_MAX_SERVICES; l = l->next)
    {
      g_strlcpy (out[n].service, l->data, sizeof out[n].service);
      out[n].capacity = mm_owner_report (o, l->data);
      n++;
    }
  g_list_free (services);
  return n;
}

/* The time between reports on each link grows with the number of links, which
   bounds the reports per second of all links together.  The pause has an upper
   bound, as the peer closes a link on which it received nothing for
   MM_MESH_TIMEOUT_MS.  A standby instance has a link from every instance:
   without the bound it would lose all of them again and again, and with each
   link the tasks of the callers there.  */
mm_time_ms
mm_mesh_report_pause_ms (uint32_t links)
{
  mm_time_ms pause_ms = (mm_time_ms)links * 1000 / MM_MESH_REPORTS_PER_S;
  return CLAMP (pause_ms, MM_MESH_REPORT_MS, MM_MESH_HEARTBEAT_MS);
}

/* Sends a report of the capacity over a link when the report has changed, and
   in any case each MM_MESH_HEARTBEAT_MS, as a heartbeat.  */
static void
send_report (mm_mesh_inbound_link *in,
             const mm_mesh_service_capacity *capacities, size_t n,
             mm_time_ms now)
{
  mm_mesh_send_kinds (in);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_report (&b, in->seen_number, in->mesh->self, in->mesh->leaving,
                       capacities, n);
  bool same = b.size == in->last_report->len
              && memcmp (b.data, in->last_report->data, b.size) == 0;
  if (!same || now - in->report_ms >= MM_MESH_HEARTBEAT_MS)
    {
      in->report_ms = now;
      g_byte_array_set_size (in->last_report, 0);
      g_byte_array_append (in->last_report, (const guint8 *)b.data,
                           (guint)b.size);
      mm_mesh_pack_report_time (&b, mm_clock_now_ms ());
      mm_link_send (in->link, &b);
    }
  msgpack_sbuffer_destroy (&b);
}

/* Reports upstreams that this instance has gained, without the pause that
   reports of changes in load keep.  */
static void
report_gained_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_mesh *m = w->data;
  mm_mesh_service_capacity capacities[MM_MESH_MAX_SERVICES];
  size_t n = read_capacities (m->owner, capacities);
  mm_mesh_update_kinds (m, mm_clock_now_ms ());
  for (GList *l = m->inbound; l; l = l->next)
    send_report (l->data, capacities, n, mm_clock_now_ms ());
}

/* Called by the owner when it has gained an upstream.  */
static void
on_gained (void *ctx)
{
  mm_mesh *m = ctx;
  if (ev_is_active (&m->gained_timer))
    return;
  ev_timer_set (&m->gained_timer, MM_MESH_GAINED_MS / 1000., 0.);
  ev_timer_start (m->loop, &m->gained_timer);
}

/* ---- outbound links: the sender of tasks ------------------------------ */

/* Passes on the outcome of a task that was dispatched to the peer.  */
static void
handle_ended (mm_mesh_peer *p, const mm_mesh_msg *msg)
{
  mm_remote_task *r = g_hash_table_lookup (p->remote_tasks, &msg->number);
  if (!r)
    return; /* the task was cancelled */
  g_hash_table_steal (p->remote_tasks, &msg->number);
  mm_work_result result = msg->result;
  result.owner = p->info.name;
  r->done (r->ctx, &result);
  g_free (r);
}

/* Stores a report.  Returns false, which closes the link, when the report is
   of another instance than this peer.  After a restart the member list still
   names the previous incarnation for a while, and the new incarnation answers
   at the same address: its capacity would count twice, under both names.  */
static bool
handle_report (mm_mesh_peer *p, mm_mesh_msg *msg)
{
  if (strcmp (msg->name, p->info.name) != 0)
    return false;
  if (!p->connected)
    mm_log_event (MM_EV_PEER_REACHED, MM_TEXT (p->info.name),
                  MM_TEXT (p->info.addr));
  p->connected = true;
  p->leaving = msg->leaving;
  p->seen_number = msg->number;
  mm_mesh_forget_seen_reserves (p);
  g_free (p->capacities);
  p->capacities = g_steal_pointer (&msg->capacities);
  p->n_capacities = msg->n_capacities;
  p->report_ms = mm_clock_now_ms ();
  p->report_sent_ms = msg->sent_ms;
  return true;
}

/* Handles a message from a peer to which this instance opened the link.
   Returning false closes the link as malformed.  */
static bool
on_peer_object (void *ctx, const msgpack_object *o)
{
  mm_mesh_peer *p = ctx;
  mm_mesh_msg msg;
  bool ok = mm_mesh_msg_read (o, &msg);
  if (!ok)
    ok = ignore_unread (&msg, p->info.name);
  else if (msg.kind == MM_MESH_ENDED)
    handle_ended (p, &msg);
  else if (msg.kind == MM_MESH_OFFER)
    mm_mesh_handle_offer (p, &msg);
  else if (msg.kind == MM_MESH_ANSWER)
    mm_requests_answer (p->requests, msg.number, msg.data, msg.len);
  else if (msg.kind == MM_MESH_REPORT)
    ok = handle_report (p, &msg);
  else if (msg.kind == MM_MESH_KINDS)
    mm_mesh_handle_kinds (p, &msg);
  else if (msg.kind == MM_MESH_UPDATE)
    mm_mesh_handle_update (p->mesh, p->info.name, &p->queue_delay, &msg);
  else if (msg.kind == MM_MESH_LOSS)
    mm_mesh_handle_loss (p->mesh, &msg);
  else if (msg.kind == MM_MESH_EVACUATIONS)
    mm_mesh_handle_evacuations (p->mesh, p->info.name, &msg);
  else if (msg.kind == MM_MESH_FOUND)
    mm_mesh_handle_found (p->mesh, p->info.name, &msg);
  else
    ok = false;
  mm_mesh_msg_clear (&msg);
  return ok;
}

/* Outcome of the tasks on a link that has closed.  */
static const mm_work_result out_of_contact
    = { .how = MM_END_UNKNOWN, .why = "owner out of contact" };
/* Outcome of the reservations there: none was accepted, so none has run.  */
static const mm_work_result not_accepted
    = { .how = MM_END_NOT_RUN, .why = "owner out of contact" };

/* Records when the peer closed its link.  A process that ends closes its
   links.  A peer that is disconnected, stalled or without power does not: this
   instance closes the link as unresponsive, and that is not recorded.  Nor is
   that this instance has stalled itself.  */
static void
record_closed (mm_mesh_peer *p, const char *why)
{
  if (why == why_unresponsive || why == why_unneeded || why == why_stalled)
    return;
  mm_time_ms *now = g_new (mm_time_ms, 1);
  *now = mm_clock_now_ms ();
  g_hash_table_replace (p->mesh->closed_ms, g_strdup (p->info.datacentre),
                        now);
}

/* Ends the tasks on the closed link as in doubt, reservations as not run, and
   fails its requests.  */
static void
on_peer_closed (void *ctx, const char *why)
{
  mm_mesh_peer *p = ctx;
  if (p->connected)
    {
      record_closed (p, why);
      mm_metrics_count (MM_CT_PEERS_LOST);
      mm_log_event (
          MM_EV_PEER_LOST, MM_TEXT (p->info.name), MM_TEXT (why),
          MM_INT (g_hash_table_size (p->remote_tasks)),
          MM_INT (mm_clock_now_ms () - mm_link_received_ms (p->link)));
    }
  p->link = NULL;
  p->connected = false;
  p->n_capacities = 0;
  g_clear_pointer (&p->kinds, mm_upstream_kinds_destroy);
  if (why != why_unneeded)
    p->lost_ms = mm_clock_now_ms ();
  p->mesh->neighbours_stale = true;
  /* The iterator restarts after each task: the callback may answer the job
     and so cancel its other tasks, which changes the table.  */
  GHashTableIter it;
  gpointer v;
  while (g_hash_table_iter_init (&it, p->remote_tasks),
         g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_remote_task *r = v;
      g_hash_table_iter_steal (&it);
      r->done (r->ctx, r->offered ? &not_accepted : &out_of_contact);
      g_free (r);
    }
  mm_requests_fail_all (p->requests);
}

/* Opens a link to a peer, unless the last try was less than
   MM_MESH_RECONNECT_MS ago.  */
static void
peer_connect (mm_mesh_peer *p, mm_time_ms now)
{
  if (now - p->connect_tried_ms < MM_MESH_RECONNECT_MS)
    return;
  p->connect_tried_ms = now;
  mm_link_events ev
      = { .object = on_peer_object, .closed = on_peer_closed, .ctx = p };
  GError *error = NULL;
  p->last_number = p->seen_number = p->known_list_offset = 0;
  p->report_sent_ms = 0;
  g_array_set_size (p->unseen_reserves, 0);
  p->queue_delay = (mm_queue_delay){ 0 };
  p->link = mm_link_connect (p->mesh->loop, p->info.addr, &ev, &error);
  if (!p->link)
    {
      g_warning ("mesh: %s", error->message);
      g_error_free (error);
      return;
    }
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_hello (&b, p->mesh->self);
  mm_link_send (p->link, &b);
  msgpack_sbuffer_destroy (&b);
  mm_mesh_send_evacuations (p->mesh, p->link);
}

void
mm_mesh_peer_info_clear (gpointer info)
{
  mm_mesh_peer_info *i = info;
  g_free (i->name);
  g_free (i->addr);
  g_free (i->datacentre);
}

static void
peer_free (gpointer v)
{
  mm_mesh_peer *p = v;
  if (p->link)
    mm_link_close (p->link, "peer not listed any more");
  g_hash_table_destroy (p->remote_tasks);
  g_array_free (p->unseen_reserves, TRUE);
  mm_requests_destroy (p->requests);
  g_free (p->capacities);
  mm_upstream_kinds_destroy (p->kinds);
  mm_mesh_peer_info_clear (&p->info);
  g_free (p);
}

/* Returns whether the link to a peer is not wanted any more and can be closed.
   Such a link is kept until all wanted links are connected, as the instance to
   which the link that replaces it leads may no longer run, and until the tasks
   on it have ended.  */
static bool
can_close (const mm_mesh_peer *p)
{
  return p->link && !p->wanted && p->mesh->wanted_connected
         && g_hash_table_size (p->remote_tasks) == 0;
}

static void
send_heartbeat (mm_mesh_peer *p, mm_time_ms now)
{
  p->heartbeat_sent_ms = now;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_heartbeat (&b, p->report_sent_ms,
                          p->report_sent_ms ? mm_clock_now_ms () - p->report_ms
                                            : 0,
                          mm_owner_silent_ms (p->mesh->owner));
  mm_link_send (p->link, &b);
  msgpack_sbuffer_destroy (&b);
}

/* Returns whether nothing arrived over a link for MM_MESH_TIMEOUT_MS.  While
   this instance itself stands still, messages arrive that it reads later.  */
static bool
is_unresponsive (const mm_mesh *m, const mm_link *link)
{
  return mm_owner_input_read_ms (m->owner) - mm_link_received_ms (link)
         > MM_MESH_TIMEOUT_MS;
}

/* Closes or opens the link to a peer as needed, and sends the heartbeat over
   it.  */
static void
peer_tick (mm_mesh_peer *p, mm_time_ms now)
{
  if (p->link && is_unresponsive (p->mesh, p->link))
    mm_link_close (p->link, why_unresponsive);
  if (can_close (p))
    mm_link_close (p->link, why_unneeded);
  if (!p->link && p->wanted)
    peer_connect (p, now);
  if (!p->link)
    return;
  mm_requests_expire (p->requests, now);
  if (now - p->heartbeat_sent_ms >= MM_MESH_HEARTBEAT_MS)
    send_heartbeat (p, now);
}

/* ---- both directions -------------------------------------------------- */

/**
 * mm_mesh_create() - create the mesh and listen for other instances.
 * @loop: event loop.
 * @self: member name of this instance; copied.
 * @datacentre: data centre of this instance; copied.
 * @host: IP address to listen on.
 * @port: port to listen on.
 * @owner: runs the tasks that peers dispatch to this instance; must outlive
 *         the mesh.
 * @error: MM_ERROR_IO when the port cannot be bound.
 *
 * Return: the mesh, or NULL; free with mm_mesh_destroy().
 */
mm_mesh *
mm_mesh_create (struct ev_loop *loop, const char *self, const char *datacentre,
                const char *host, uint16_t port, mm_owner *owner,
                GError **error)
{
  int fd = mm_link_listen (host, port, error);
  if (fd < 0)
    return NULL;
  mm_mesh *m = g_new0 (mm_mesh, 1);
  m->loop = loop;
  m->owner = owner;
  m->self = g_strdup (self);
  m->datacentre = g_strdup (datacentre);
  m->closed_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->listen_fd = fd;
  m->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  m->unlisted = g_queue_new ();
  msgpack_sbuffer_init (&m->kinds);
  ev_io_init (&m->accept_io, accept_cb, fd, EV_READ);
  m->accept_io.data = m;
  ev_io_start (loop, &m->accept_io);
  mm_mesh_attach_owner (m);
  ev_init (&m->gained_timer, report_gained_cb);
  m->gained_timer.data = m;
  mm_owner_set_gained (owner, on_gained, m);
  return m;
}

void
mm_mesh_destroy (mm_mesh *m)
{
  if (!m)
    return;
  mm_owner_set_gained (m->owner, NULL, NULL);
  ev_timer_stop (m->loop, &m->gained_timer);
  ev_io_stop (m->loop, &m->accept_io);
  close (m->listen_fd);
  while (m->inbound)
    mm_link_close (((mm_mesh_inbound_link *)m->inbound->data)->link,
                   "shutdown");
  g_hash_table_destroy (m->peers);
  g_queue_free_full (m->unlisted, mm_mesh_unlisted_free);
  g_hash_table_destroy (m->closed_ms);
  msgpack_sbuffer_destroy (&m->kinds);
  g_free (m->self);
  g_free (m->datacentre);
  g_free (m);
}

/**
 * mm_mesh_on_hello() - set the callback for links opened by other instances.
 * @m: the mesh.
 * @hello: called with the member name of each instance that opens a link to
 *         this one.
 * @ctx: for @hello.
 */
void
mm_mesh_on_hello (mm_mesh *m, mm_mesh_hello hello, void *ctx)
{
  m->hello = hello;
  m->hello_ctx = ctx;
}

void
mm_mesh_on_released (mm_mesh *m, mm_mesh_released released, void *ctx)
{
  m->released = released;
  m->released_ctx = ctx;
}

void
mm_mesh_send_all (mm_mesh *m, const msgpack_sbuffer *b)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_mesh_peer *)v)->connected)
      mm_link_send (((mm_mesh_peer *)v)->link, b);
}

/**
 * mm_mesh_notify_released() - notify all peers of released partitions.
 * @m: the mesh.
 * @group: group of the partitions that this instance has released.
 *
 * Without the notification, the next owner learns of its partitions with its
 * next call to the store, and these calls are 300 ms apart.  With the
 * notification, it calls the store at once.
 */
void
mm_mesh_notify_released (mm_mesh *m, const char *group)
{
  if (!MM_WITH_TELL_HANDED)
    return;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_released (&b, group);
  mm_mesh_send_all (m, &b);
  msgpack_sbuffer_destroy (&b);
}

void
mm_mesh_set_leaving (mm_mesh *m)
{
  m->leaving = true;
}

/* Returns the capacity that a peer last reported for a service.  Tasks that
   were dispatched to the peer and that its report does not count yet take free
   capacity, or count as waiting when there is none left.  */
static mm_capacity_report
capacity_of_peer (const mm_mesh_peer *p, const char *service)
{
  mm_capacity_report r = { 0 };
  for (size_t i = 0; i < p->n_capacities; i++)
    if (strcmp (p->capacities[i].service, service) == 0)
      r = p->capacities[i].capacity;
  uint64_t unseen = p->last_number - p->seen_number
                    - mm_mesh_count_unseen_reserves (p, &r);
  uint32_t yielding = 0;
  for (uint64_t i = p->seen_number + 1; i <= p->last_number; i++)
    {
      const mm_remote_task *t = g_hash_table_lookup (p->remote_tasks, &i);
      if (!t || t->offered)
        continue;
      mm_residuals_take (&r.residuals, t->cpu_milli);
      yielding += t->yields;
    }
  uint32_t used = (uint32_t)MIN (unseen, r.free);
  r.free -= used;
  /* The priority of the unseen tasks is not known: at level 0 they count as
     waiting ahead of tasks of every priority, unless they yield.  */
  uint32_t waiting = (uint32_t)(unseen - used);
  r.waiting += waiting;
  r.waiting_by_priority[0] += waiting - MIN (waiting, yielding);
  r.waiting_unseen += waiting - MIN (waiting, yielding);
  return r;
}

size_t
mm_mesh_peer_capacities (const mm_mesh *m, const char *service,
                         mm_mesh_peer_capacity *out, size_t cap)
{
  size_t n = 0;
  mm_time_ms now = mm_clock_now_ms ();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (n < cap && g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_mesh_peer *p = v;
      if (!p->connected)
        continue;
      out[n].name = p->info.name;
      out[n].datacentre = p->info.datacentre;
      out[n].capacity = capacity_of_peer (p, service);
      out[n].kinds = p->kinds;
      out[n].age_ms = now - p->report_ms;
      n++;
    }
  return n;
}

/**
 * mm_mesh_submit() - dispatch a task to a peer.
 * @m: the mesh.
 * @peer_name: name of a connected peer.
 * @t: the task.
 * @done: called once, after this function has returned, unless the task is
 *        cancelled before.
 * @ctx: for @done.
 *
 * Return: a handle that is valid until @done is called or the task is
 * cancelled, or NULL when the peer is not connected.
 */
mm_remote_task *
mm_mesh_submit (mm_mesh *m, const char *peer_name, const mm_task_request *t,
                mm_work_done done, void *ctx)
{
  mm_mesh_peer *p = g_hash_table_lookup (m->peers, peer_name);
  if (!p || !p->connected)
    return NULL;
  mm_remote_task *r = g_new0 (mm_remote_task, 1);
  r->peer = p;
  r->number = ++p->last_number;
  r->cpu_milli = t->resources.cpu_milli;
  r->yields = t->yields;
  r->done = done;
  r->ctx = ctx;
  g_hash_table_insert (p->remote_tasks, &r->number, r);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_run (&b, r->number, t);
  mm_owner_record_sent (m->owner, b.size);
  mm_link_send (p->link, &b);
  msgpack_sbuffer_destroy (&b);
  return r;
}

void
mm_mesh_cancel (mm_mesh *m, mm_remote_task *r)
{
  mm_mesh_peer *p = r->peer;
  g_hash_table_remove (p->remote_tasks, &r->number);
  if (p->link)
    {
      msgpack_sbuffer b;
      msgpack_sbuffer_init (&b);
      mm_mesh_pack_cancel (&b, r->number);
      mm_link_send (p->link, &b);
      msgpack_sbuffer_destroy (&b);
    }
  g_free (r);
}

void
mm_mesh_close_links (mm_mesh *m)
{
  while (m->inbound)
    mm_link_close (((mm_mesh_inbound_link *)m->inbound->data)->link,
                   why_stalled);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_mesh_peer *)v)->link)
      mm_link_close (((mm_mesh_peer *)v)->link, why_stalled);
}

/* Returns the peers that have a link or to which one is wanted; free the list.
   Of hundreds of known peers these are few, and a tick handles no others.  */
static GList *
linked_or_wanted (const mm_mesh *m)
{
  GList *peers = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_mesh_peer *)v)->link || ((mm_mesh_peer *)v)->wanted)
      peers = g_list_prepend (peers, v);
  return peers;
}

void
mm_mesh_tick (mm_mesh *m)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (m->neighbours_stale
      || now - m->neighbours_chosen_ms >= MM_NEIGHBOURS_CHECK_MS)
    mm_mesh_choose_neighbours (m, now);
  GList *peers = linked_or_wanted (m);
  m->wanted_connected = true;
  for (GList *l = peers; l; l = l->next)
    {
      const mm_mesh_peer *p = l->data;
      m->wanted_connected
          = m->wanted_connected && (p->connected || !p->wanted);
    }
  for (GList *l = peers; l; l = l->next)
    peer_tick (l->data, now);
  g_list_free (peers);
  mm_mesh_service_capacity capacities[MM_MESH_MAX_SERVICES];
  size_t n = read_capacities (m->owner, capacities);
  if (now - m->kinds_packed_ms >= MM_MESH_KINDS_MS)
    mm_mesh_update_kinds (m, now);
  mm_time_ms pause_ms = mm_mesh_report_pause_ms (mm_mesh_inbound (m));
  GList *next;
  for (GList *l = m->inbound; l; l = next)
    {
      next = l->next;
      mm_mesh_inbound_link *in = l->data;
      if (is_unresponsive (m, in->link))
        mm_link_close (in->link, why_unresponsive);
      else if (now - in->report_ms >= pause_ms)
        send_report (in, capacities, n, now);
    }
}
