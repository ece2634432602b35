/* mm_mesh: links to and from the other instances.

   Each instance opens links to some others (mm_neighbours) and hands them
   tasks over these.  A link that breaks or falls silent ends everything on it:
   the owner stops the tasks that came over it, as their callers may send
   the job again elsewhere; the sender reports them as out of sight.  */
#define _GNU_SOURCE
#include "mm_mesh_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A task taken in over a link.  */
typedef struct
{
  mm_mesh_inbound_link *from;
  uint64_t no;
  mm_work *work;
} taken;

static const char silent[] = "silent"; /* why a link was given up */
static const char unneeded[] = "not a neighbour any more";

/* ---- the owner's side ------------------------------------------------- */

static void
on_taken_done (void *ctx, const mm_work_result *r)
{
  taken *t = ctx;
  mm_mesh_inbound_link *in = t->from;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_ended (&b, t->no, r);
  mm_link_send (in->link, &b);
  msgpack_sbuffer_destroy (&b);
  g_hash_table_remove (in->works, &t->no);
}

static void
take_run (mm_mesh_inbound_link *in, const mm_mesh_msg *m)
{
  if (g_hash_table_contains (in->works, &m->no))
    return;
  taken *t = g_new0 (taken, 1);
  t->from = in;
  t->no = m->no;
  in->seen_no = MAX (in->seen_no, m->no);
  g_hash_table_insert (in->works, &t->no, t);
  t->work = mm_owner_submit (in->mesh->owner, &m->request, on_taken_done, t);
}

static void
take_cancel (mm_mesh_inbound_link *in, uint64_t no)
{
  taken *t = g_hash_table_lookup (in->works, &no);
  if (!t)
    return;
  mm_owner_cancel (in->mesh->owner, t->work);
  g_hash_table_remove (in->works, &no);
}

static void
take_hello (mm_mesh_inbound_link *in, const mm_mesh_msg *m)
{
  g_free (in->name);
  in->name = g_strdup (m->name);
  mm_mesh_send_losses (in->mesh, in->link);
  if (in->mesh->hello)
    in->mesh->hello (in->mesh->hello_ctx, m->name);
}

static bool
on_inbound_object (void *ctx, const msgpack_object *o)
{
  mm_mesh_inbound_link *in = ctx;
  mm_mesh_msg m;
  bool ok = mm_mesh_msg_read (o, &m);
  if (ok && m.kind == MM_MESH_RUN)
    take_run (in, &m);
  else if (ok && m.kind == MM_MESH_CANCEL)
    take_cancel (in, m.no);
  else if (ok && m.kind == MM_MESH_ASK)
    mm_mesh_take_ask (in, &m);
  else if (ok && m.kind == MM_MESH_HANDED && in->mesh->handed)
    in->mesh->handed (in->mesh->handed_ctx, m.name);
  else if (ok && m.kind == MM_MESH_FOUND)
    mm_mesh_take_found (in, &m);
  else if (ok && m.kind == MM_MESH_UPDATE)
    mm_mesh_take_update (in->mesh, in->name, &in->transit, &m);
  else if (ok && m.kind == MM_MESH_LOSS)
    mm_mesh_take_loss (in->mesh, &m);
  else if (ok && m.kind == MM_MESH_HELLO)
    take_hello (in, &m);
  else
    ok = ok && (m.kind == MM_MESH_BEAT || m.kind == MM_MESH_HANDED);
  mm_mesh_msg_clear (&m);
  return ok;
}

static void
on_inbound_closed (void *ctx, const char *why)
{
  mm_mesh_inbound_link *in = ctx;
  mm_mesh *m = in->mesh;
  guint n = g_hash_table_size (in->works);
  if (n)
    mm_log_event (MM_EV_SENDER_LOST, MM_TEXT (why), MM_INT (n));
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, in->works);
  while (g_hash_table_iter_next (&it, NULL, &v))
    mm_owner_cancel (m->owner, ((taken *)v)->work);
  g_hash_table_destroy (in->works);
  for (GList *l = in->replies; l; l = l->next)
    ((mm_mesh_reply *)l->data)->to = NULL;
  g_list_free (in->replies);
  g_byte_array_free (in->last_report, TRUE);
  g_free (in->name);
  m->inbound = g_list_remove (m->inbound, in);
  g_free (in);
}

static void
accept_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  mm_mesh *m = w->data;
  int fd = accept4 (m->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  mm_mesh_inbound_link *in = g_new0 (mm_mesh_inbound_link, 1);
  in->mesh = m;
  in->works
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  in->last_report = g_byte_array_new ();
  mm_link_events ev = { .object = on_inbound_object,
                        .closed = on_inbound_closed,
                        .ctx = in };
  in->link = mm_link_adopt (loop, fd, &ev);
  m->inbound = g_list_prepend (m->inbound, in);
}

static size_t
rooms_of (mm_owner *o, mm_mesh_room *out)
{
  size_t n = 0;
  GList *services = mm_owner_services (o);
  for (GList *l = services; l && n < MM_MESH_MAX_SERVICES; l = l->next)
    {
      g_strlcpy (out[n].service, l->data, sizeof out[n].service);
      out[n].room = mm_owner_report (o, l->data);
      n++;
    }
  g_list_free (services);
  return n;
}

/* Between reports over one of so many links.  The more there are, the fewer go
   over each; but one that tells of no life for MM_MESH_SILENT_MS is given up
   at its other end.  Whoever stands in for a data centre has a link from every
   instance: with the pause unbounded it would lose all of them over and over,
   and with each the tasks of their callers.  */
mm_time_ms
mm_mesh_report_pause_ms (uint32_t links)
{
  mm_time_ms pause_ms = (mm_time_ms)links * 1000 / MM_MESH_REPORTS_PER_S;
  return CLAMP (pause_ms, MM_MESH_REPORT_MS, MM_MESH_BEAT_MS);
}

/* Tell of our room when it changed, and now and then as a sign of life. */
static void
send_report (mm_mesh_inbound_link *in, const mm_mesh_room *rooms, size_t n,
             mm_time_ms now)
{
  uint32_t links = mm_mesh_inbound (in->mesh);
  if (now - in->report_ms < mm_mesh_report_pause_ms (links))
    return;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_report (&b, in->seen_no, in->mesh->self, in->mesh->leaving,
                       rooms, n);
  bool same = b.size == in->last_report->len
              && memcmp (b.data, in->last_report->data, b.size) == 0;
  if (!same || now - in->report_ms >= MM_MESH_BEAT_MS)
    {
      in->report_ms = now;
      g_byte_array_set_size (in->last_report, 0);
      g_byte_array_append (in->last_report, (const guint8 *)b.data,
                           (guint)b.size);
      mm_link_send (in->link, &b);
    }
  msgpack_sbuffer_destroy (&b);
}

/* ---- the sender's side ------------------------------------------------ */

static void
take_ended (mm_mesh_peer *p, const mm_mesh_msg *m)
{
  mm_remote *r = g_hash_table_lookup (p->remote, &m->no);
  if (!r)
    return; /* cancelled meanwhile */
  g_hash_table_steal (p->remote, &m->no);
  mm_work_result result = m->result;
  result.owner = p->info.name;
  r->done (r->ctx, &result);
  g_free (r);
}

/* After a restart the list names the dead incarnation for a while, and the
   new one answers at its address: under both names its room would count
   twice.  Return: false for another instance than the one meant.  */
static bool
take_report (mm_mesh_peer *p, mm_mesh_msg *m)
{
  if (strcmp (m->name, p->info.name) != 0)
    return false;
  if (!p->connected)
    mm_log_event (MM_EV_PEER_REACHED, MM_TEXT (p->info.name),
                  MM_TEXT (p->info.addr));
  p->connected = true;
  p->leaving = m->leaving;
  p->seen_no = m->no;
  g_free (p->rooms);
  p->rooms = g_steal_pointer (&m->rooms);
  p->n_rooms = m->n_rooms;
  p->report_ms = mm_clock_now_ms ();
  return true;
}

static bool
on_peer_object (void *ctx, const msgpack_object *o)
{
  mm_mesh_peer *p = ctx;
  mm_mesh_msg m;
  bool ok = mm_mesh_msg_read (o, &m);
  if (ok && m.kind == MM_MESH_ENDED)
    take_ended (p, &m);
  else if (ok && m.kind == MM_MESH_TOLD)
    mm_questions_answer (p->questions, m.no, m.data, m.len);
  else if (ok && m.kind == MM_MESH_REPORT)
    ok = take_report (p, &m);
  else if (ok && m.kind == MM_MESH_UPDATE)
    mm_mesh_take_update (p->mesh, p->info.name, &p->transit, &m);
  else if (ok && m.kind == MM_MESH_LOSS)
    mm_mesh_take_loss (p->mesh, &m);
  else
    ok = false;
  mm_mesh_msg_clear (&m);
  return ok;
}

static const mm_work_result out_of_contact
    = { .how = MM_END_UNKNOWN, .why = "owner out of contact" };

/* A process that ends closes its links; one that is cut off, frozen or
   without power leaves them silent.  */
static void
note_closed (mm_mesh_peer *p, const char *why)
{
  if (why == silent || why == unneeded)
    return;
  mm_time_ms *now = g_new (mm_time_ms, 1);
  *now = mm_clock_now_ms ();
  g_hash_table_replace (p->mesh->closed_ms, g_strdup (p->info.datacentre),
                        now);
}

static void
on_peer_closed (void *ctx, const char *why)
{
  mm_mesh_peer *p = ctx;
  if (p->connected)
    {
      note_closed (p, why);
      mm_metrics_count (MM_CT_PEERS_LOST);
      mm_log_event (MM_EV_PEER_LOST, MM_TEXT (p->info.name), MM_TEXT (why),
                    MM_INT (g_hash_table_size (p->remote)));
    }
  p->link = NULL;
  p->connected = false;
  p->n_rooms = 0;
  if (why != unneeded)
    p->lost_ms = mm_clock_now_ms ();
  p->mesh->choose_again = true;
  /* One at a time: an answer given meanwhile cancels its job's others.  */
  GHashTableIter it;
  gpointer v;
  while (g_hash_table_iter_init (&it, p->remote),
         g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_remote *r = v;
      g_hash_table_iter_steal (&it);
      r->done (r->ctx, &out_of_contact);
      g_free (r);
    }
  mm_questions_fail_all (p->questions);
}

static void
peer_connect (mm_mesh_peer *p, mm_time_ms now)
{
  if (now - p->tried_ms < MM_MESH_RECONNECT_MS)
    return;
  p->tried_ms = now;
  mm_link_events ev
      = { .object = on_peer_object, .closed = on_peer_closed, .ctx = p };
  GError *error = NULL;
  p->next_no = p->seen_no = p->known_upto = 0;
  p->transit = (mm_transit){ 0 };
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
}

void
mm_peer_info_clear (gpointer info)
{
  mm_peer_info *i = info;
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
  g_hash_table_destroy (p->remote);
  mm_questions_destroy (p->questions);
  g_free (p->rooms);
  mm_peer_info_clear (&p->info);
  g_free (p);
}

/* A link that is not needed any more is kept until all chosen ones are up:
   one that replaces it may be to an instance that is gone.  */
static bool
unneeded_now (const mm_mesh_peer *p)
{
  return p->link && !p->chosen && p->mesh->chosen_up
         && g_hash_table_size (p->remote) == 0;
}

static void
peer_tick (mm_mesh_peer *p, mm_time_ms now)
{
  if (p->link && now - mm_link_received_ms (p->link) > MM_MESH_SILENT_MS)
    mm_link_close (p->link, silent);
  if (unneeded_now (p))
    mm_link_close (p->link, unneeded);
  if (!p->link && p->chosen)
    peer_connect (p, now);
  if (!p->link)
    return;
  mm_questions_expire (p->questions, now);
  if (now - p->beat_ms < MM_MESH_BEAT_MS)
    return;
  p->beat_ms = now;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_beat (&b);
  mm_link_send (p->link, &b);
  msgpack_sbuffer_destroy (&b);
}

/* ---- both ------------------------------------------------------------- */

/**
 * mm_mesh_create() - listen for other instances.
 * @loop: the loop.
 * @self: our name as a peer.
 * @datacentre: where we stand.
 * @host: our address.
 * @port: our port for them.
 * @owner: runs what they hand in.
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
  ev_io_init (&m->accept_io, accept_cb, fd, EV_READ);
  m->accept_io.data = m;
  ev_io_start (loop, &m->accept_io);
  mm_mesh_link_owner (m);
  return m;
}

void
mm_mesh_destroy (mm_mesh *m)
{
  if (!m)
    return;
  ev_io_stop (m->loop, &m->accept_io);
  close (m->listen_fd);
  while (m->inbound)
    mm_link_close (((mm_mesh_inbound_link *)m->inbound->data)->link,
                   "shutdown");
  g_hash_table_destroy (m->peers);
  g_hash_table_destroy (m->closed_ms);
  g_free (m->self);
  g_free (m->datacentre);
  g_free (m);
}

/**
 * mm_mesh_on_hello() - learn of instances that link to us.
 * @m: the mesh.
 * @hello: called with the name of each.
 * @ctx: for @hello.
 */
void
mm_mesh_on_hello (mm_mesh *m, mm_mesh_hello hello, void *ctx)
{
  m->hello = hello;
  m->hello_ctx = ctx;
}

void
mm_mesh_on_handed (mm_mesh *m, mm_mesh_handed handed, void *ctx)
{
  m->handed = handed;
  m->handed_ctx = ctx;
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
 * mm_mesh_tell_handed() - tell the peers that partitions can be taken.
 * @m: the mesh.
 * @group: whose.
 *
 * Whoever gets them learns of it with its next call to the store, 300 ms
 * apart; told, it calls at once.
 */
void
mm_mesh_tell_handed (mm_mesh *m, const char *group)
{
  if (!MM_WITH_TELL_HANDED)
    return;
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_handed (&b, group);
  mm_mesh_send_all (m, &b);
  msgpack_sbuffer_destroy (&b);
}

void
mm_mesh_set_leaving (mm_mesh *m)
{
  m->leaving = true;
}

static mm_room_report
room_at (const mm_mesh_peer *p, const char *service)
{
  mm_room_report r = { 0 };
  for (size_t i = 0; i < p->n_rooms; i++)
    if (strcmp (p->rooms[i].service, service) == 0)
      r = p->rooms[i].room;
  uint64_t unseen = p->next_no - p->seen_no;
  uint32_t used = (uint32_t)MIN (unseen, r.free);
  r.free -= used;
  /* Of unknown priority: they count for everybody.  */
  r.waiting += (uint32_t)(unseen - used);
  r.waiting_at[0] += (uint32_t)(unseen - used);
  return r;
}

size_t
mm_mesh_places (const mm_mesh *m, const char *service, mm_mesh_place *out,
                size_t cap)
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
      out[n].room = room_at (p, service);
      out[n].age_ms = now - p->report_ms;
      n++;
    }
  return n;
}

/**
 * mm_mesh_submit() - hand a task to a peer.
 * @m: the mesh.
 * @peer_name: a connected one.
 * @t: the task.
 * @done: called once, later, unless it is cancelled before.
 * @ctx: for @done.
 *
 * Return: a handle valid until @done, or NULL when there is no link.
 */
mm_remote *
mm_mesh_submit (mm_mesh *m, const char *peer_name, const mm_task_request *t,
                mm_work_done done, void *ctx)
{
  mm_mesh_peer *p = g_hash_table_lookup (m->peers, peer_name);
  if (!p || !p->connected)
    return NULL;
  mm_remote *r = g_new0 (mm_remote, 1);
  r->peer = p;
  r->no = ++p->next_no;
  r->done = done;
  r->ctx = ctx;
  g_hash_table_insert (p->remote, &r->no, r);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_run (&b, r->no, t);
  mm_owner_note_sent (m->owner, b.size);
  mm_link_send (p->link, &b);
  msgpack_sbuffer_destroy (&b);
  return r;
}

void
mm_mesh_cancel (mm_mesh *m, mm_remote *r)
{
  mm_mesh_peer *p = r->peer;
  g_hash_table_remove (p->remote, &r->no);
  if (p->link)
    {
      msgpack_sbuffer b;
      msgpack_sbuffer_init (&b);
      mm_mesh_pack_cancel (&b, r->no);
      mm_link_send (p->link, &b);
      msgpack_sbuffer_destroy (&b);
    }
  g_free (r);
}

void
mm_mesh_woke (mm_mesh *m)
{
  while (m->inbound)
    mm_link_close (((mm_mesh_inbound_link *)m->inbound->data)->link,
                   "we stood still");
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_mesh_peer *)v)->link)
      mm_link_close (((mm_mesh_peer *)v)->link, "we stood still");
}

/* Of hundreds that are known.  */
static GList *
linked_or_chosen (const mm_mesh *m)
{
  GList *peers = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, m->peers);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_mesh_peer *)v)->link || ((mm_mesh_peer *)v)->chosen)
      peers = g_list_prepend (peers, v);
  return peers;
}

void
mm_mesh_tick (mm_mesh *m)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (m->choose_again || now - m->chosen_ms >= MM_NEIGHBOURS_CHECK_MS)
    mm_mesh_choose_neighbours (m, now);
  GList *peers = linked_or_chosen (m);
  m->chosen_up = true;
  for (GList *l = peers; l; l = l->next)
    {
      const mm_mesh_peer *p = l->data;
      m->chosen_up = m->chosen_up && (p->connected || !p->chosen);
    }
  for (GList *l = peers; l; l = l->next)
    peer_tick (l->data, now);
  g_list_free (peers);
  mm_mesh_room rooms[MM_MESH_MAX_SERVICES];
  size_t n = rooms_of (m->owner, rooms);
  GList *next;
  for (GList *l = m->inbound; l; l = next)
    {
      next = l->next;
      mm_mesh_inbound_link *in = l->data;
      if (now - mm_link_received_ms (in->link) > MM_MESH_SILENT_MS)
        mm_link_close (in->link, silent);
      else
        send_report (in, rooms, n, now);
    }
}
