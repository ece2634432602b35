/* Links between many instances: how many there are, how evenly they are
   spread, and what happens to them as instances go.  Meshes of one process
   on loopback; the choice itself is tested without a network.  */
#include "config.h"
#include "harness.h"
#include "mm_mesh_msg.h"
#include "mm_mesh.h"
#include "mm_neighbours.h"

#include <check.h>
#include <string.h>

#define INSTANCES 36 /* as many ports as a test case has, less a few */
#define DATACENTRES 3

static const char *const dc_names[DATACENTRES] = { "north", "east", "south" };

typedef struct
{
  struct ev_loop *loop;
  ev_timer tick;
  mm_owner *owner[INSTANCES];
  mm_mesh *mesh[INSTANCES];
  mm_peer_info info[INSTANCES];
} world;

static const char *
datacentre_of (int i)
{
  return dc_names[i % DATACENTRES];
}

static void
tick_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  world *s = w->data;
  for (int i = 0; i < INSTANCES; i++)
    if (s->mesh[i])
      mm_mesh_tick (s->mesh[i]);
}

static void
stop_loop (struct ev_loop *loop, ev_timer *w, int revents)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
pass_time (world *s, double seconds)
{
  ev_timer stop;
  ev_timer_init (&stop, stop_loop, seconds, 0.);
  ev_timer_start (s->loop, &stop);
  ev_run (s->loop, 0);
}

static void
set_peers (world *s, int i)
{
  mm_peer_info others[INSTANCES];
  size_t n = 0;
  for (int k = 0; k < INSTANCES; k++)
    if (k != i)
      others[n++] = s->info[k];
  mm_mesh_set_peers (s->mesh[i], others, n);
}

static world *
world_create (void)
{
  world *s = g_new0 (world, 1);
  s->loop = ev_loop_new (EVFLAG_AUTO);
  mm_exec_port nowhere = { 0 };
  GError *error = NULL;
  for (int i = 0; i < INSTANCES; i++)
    {
      int port = h_port_base () + i;
      s->info[i].name = g_strdup_printf ("n%d", i);
      s->info[i].addr = g_strdup_printf ("127.0.0.1:%d", port);
      s->info[i].datacentre = g_strdup (datacentre_of (i));
      s->owner[i] = mm_owner_create (&nowhere);
      s->mesh[i]
          = mm_mesh_create (s->loop, s->info[i].name, datacentre_of (i),
                            "127.0.0.1", (uint16_t)port, s->owner[i], &error);
      ck_assert_msg (s->mesh[i] != NULL, "%s", error ? error->message : "");
    }
  for (int i = 0; i < INSTANCES; i++)
    set_peers (s, i);
  ev_timer_init (&s->tick, tick_cb, 0., MM_EXEC_TICK_MS / 1000.);
  s->tick.data = s;
  ev_timer_start (s->loop, &s->tick);
  return s;
}

static void
stop_instance (world *s, int i)
{
  mm_mesh_destroy (s->mesh[i]);
  s->mesh[i] = NULL;
}

static void
world_destroy (world *s)
{
  ev_timer_stop (s->loop, &s->tick);
  for (int i = 0; i < INSTANCES; i++)
    {
      mm_mesh_destroy (s->mesh[i]);
      mm_owner_destroy (s->owner[i]);
      mm_peer_info_clear (&s->info[i]);
    }
  ev_loop_destroy (s->loop);
  g_free (s);
}

/* An operator adds instances until there are dozens.  With a link from each
   to each other one, the messages that keep links alive grow with the
   square of their number, until they are all that an instance does.  */
START_TEST (links_of_an_instance_stay_bounded_as_instances_are_added)
{
  world *s = world_create ();
  pass_time (s, 1.5);
  uint32_t links = 0;
  for (int i = 0; i < INSTANCES; i++)
    {
      uint32_t out = mm_mesh_connected (s->mesh[i]);
      ck_assert_uint_le (out, MM_NEIGHBOURS_NEAR + MM_NEIGHBOURS_FAR);
      ck_assert_uint_ge (out, MM_NEIGHBOURS_NEAR);
      ck_assert_uint_ge (mm_mesh_inbound (s->mesh[i]), 1);
      ck_assert_uint_le (mm_mesh_inbound (s->mesh[i]),
                         2 * (MM_NEIGHBOURS_NEAR + MM_NEIGHBOURS_FAR));
      links += out;
    }
  ck_assert_uint_lt (links, INSTANCES * (INSTANCES - 1) / 2);
  world_destroy (s);
}
END_TEST

/* All instances of a data centre but one are killed.  An instance that was
   linked to two of the dead ones must not take the whole data centre for
   gone, and stand in for one that serves.  */
START_TEST (last_instance_of_a_data_centre_is_found_when_the_others_die)
{
  world *s = world_create ();
  pass_time (s, 1.5);
  const int last = 2; /* in the third data centre */
  for (int i = 0; i < INSTANCES; i++)
    if (i % DATACENTRES == last && i != last)
      stop_instance (s, i);
  bool orphan = false;
  for (int step = 0; step < 20; step++)
    {
      pass_time (s, 0.05);
      for (int i = 0; i < INSTANCES; i++)
        {
          if (i % DATACENTRES == last)
            continue;
          mm_mesh_presence p
              = mm_mesh_presence_in (s->mesh[i], dc_names[last]);
          orphan = orphan || (p.connected == 0 && p.untried == 0);
        }
    }
  ck_assert (!orphan);
  for (int i = 0; i < INSTANCES; i++)
    if (i % DATACENTRES != last)
      ck_assert_uint_ge (
          mm_mesh_presence_in (s->mesh[i], dc_names[last]).connected, 1);
  stop_instance (s, last);
  pass_time (s, 0.6);
  for (int i = 0; i < INSTANCES; i++)
    if (i % DATACENTRES != last)
      {
        mm_mesh_presence p = mm_mesh_presence_in (s->mesh[i], dc_names[last]);
        ck_assert_uint_eq (p.connected, 0);
        ck_assert_int_gt (p.closed_ms, 0);
      }
  world_destroy (s);
}
END_TEST

static size_t
fill (mm_neighbour *c, char (*names)[16], size_t n)
{
  memset (c, 0, n * sizeof *c);
  for (size_t i = 0; i < n; i++)
    {
      g_snprintf (names[i], sizeof names[i], "n%zu", i);
      c[i].name = names[i];
      c[i].datacentre = dc_names[i % DATACENTRES];
    }
  return n;
}

static uint32_t
chosen_in (const mm_neighbour *c, const bool *chosen, size_t n,
           const char *datacentre)
{
  uint32_t count = 0;
  for (size_t i = 0; i < n; i++)
    count += chosen[i] && strcmp (c[i].datacentre, datacentre) == 0;
  return count;
}

START_TEST (few_instances_are_all_linked_to)
{
  mm_neighbour c[6];
  char names[6][16];
  bool chosen[6];
  size_t n = fill (c, names, 6);
  mm_neighbours_choose ("self", "north", c, n, 1000, chosen);
  for (size_t i = 0; i < n; i++)
    ck_assert (chosen[i]);
}
END_TEST

START_TEST (neighbours_are_bounded_near_and_far)
{
  enum
  {
    N = 300
  };
  mm_neighbour c[N];
  char names[N][16];
  bool chosen[N];
  fill (c, names, N);
  mm_neighbours_choose ("self", "north", c, N, 1000, chosen);
  ck_assert_uint_eq (chosen_in (c, chosen, N, "north"), MM_NEIGHBOURS_NEAR);
  ck_assert_uint_eq (chosen_in (c, chosen, N, "east"), MM_NEIGHBOURS_FAR_EACH);
  ck_assert_uint_eq (chosen_in (c, chosen, N, "south"),
                     MM_NEIGHBOURS_FAR_EACH);
}
END_TEST

/* Chosen neighbours die: others take their places, and an instance that
   stands in for a data centre is linked to by all.  */
START_TEST (lost_neighbours_are_replaced_and_those_who_stand_in_are_taken)
{
  enum
  {
    N = 60
  };
  mm_neighbour c[N];
  char names[N][16];
  bool before[N], after[N];
  fill (c, names, N);
  mm_neighbours_choose ("self", "north", c, N, 5000, before);
  for (size_t i = 0; i < N; i++)
    c[i].lost_ms = before[i] ? 4900 : 0;
  size_t outsider = 0;
  while (before[outsider] || strcmp (c[outsider].datacentre, "east") != 0)
    outsider++;
  c[outsider].stands_in = true;
  mm_neighbours_choose ("self", "north", c, N, 5000, after);
  for (size_t i = 0; i < N; i++)
    ck_assert (!(before[i] && after[i]));
  ck_assert (after[outsider]);
  ck_assert_uint_eq (chosen_in (c, after, N, "north"), MM_NEIGHBOURS_NEAR);
  /* Some time later they are tried again.  */
  c[outsider].stands_in = false;
  mm_neighbours_choose ("self", "north", c, N, 4900 + MM_NEIGHBOUR_LOST_MS,
                        after);
  ck_assert_mem_eq (before, after, sizeof before);
}
END_TEST

/* What is packed is read back as it was: a message that its receiver can't
   read costs the link, and all tasks on it.  */
START_TEST (messages_are_read_as_they_were_packed)
{
  mm_task_request t = { .id = { .job = "job", .step = 1, .index = 2 },
                        .service = "s",
                        .payload = "p",
                        .running_at = "up",
                        .run = 3,
                        .ran_ms = 40 };
  mm_mesh_room room
      = { .service = "s",
          .room = { .places = 9, .waiting = 3, .waiting_at = { 1, 0, 2 } } };
  mm_work_result result = { .how = MM_END_DONE, .run = 3 };
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_run (&b, 7, &t);
  mm_mesh_pack_cancel (&b, 7);
  mm_mesh_pack_beat (&b);
  mm_mesh_pack_ended (&b, 7, &result);
  mm_mesh_pack_report (&b, 7, "node", true, &room, 1);
  mm_mesh_pack_hello (&b, "node");
  mm_mesh_pack_ask (&b, 7, 1, "x", 1);
  mm_mesh_pack_told (&b, 7, "x", 1);
  mm_mesh_pack_handed (&b, "room-dc1");
  mm_found_run found
      = { .upstream = "up", .task = t.id, .run = 3, .fence = 9 };
  mm_mesh_pack_found (&b, &found);
  mm_mesh_pack_update (&b, 5, "x", 1);
  uint64_t mark = 77;
  mm_loss loss = { .upstream = "up",
                   .addr = "127.0.0.1:1",
                   .verdict = MM_LOSS_CRASHED,
                   .silent_ms = mm_clock_now_ms () - 500,
                   .tasks = &mark,
                   .n_tasks = 1 };
  mm_mesh_pack_loss (&b, &loss);
  msgpack_unpacked o;
  msgpack_unpacked_init (&o);
  size_t at = 0;
  for (int kind = MM_MESH_RUN; kind <= MM_MESH_LOSS; kind++)
    {
      mm_mesh_msg m;
      ck_assert_int_eq (msgpack_unpack_next (&o, b.data, b.size, &at),
                        MSGPACK_UNPACK_SUCCESS);
      ck_assert_msg (mm_mesh_msg_read (&o.data, &m), "kind %d", kind);
      ck_assert_int_eq (m.kind, kind);
      if (kind == MM_MESH_RUN)
        ck_assert (mm_task_id_equal (&m.request.id, &t.id)
                   && strcmp (m.request.running_at, "up") == 0
                   && m.request.run == 3 && m.request.ran_ms == 40);
      if (kind == MM_MESH_FOUND)
        ck_assert (mm_task_id_equal (&m.found.task, &t.id) && m.found.run == 3
                   && m.found.fence == 9
                   && strcmp (m.found.upstream, "up") == 0);
      if (kind == MM_MESH_LOSS)
        ck_assert (strcmp (m.loss.upstream, "up") == 0
                   && strcmp (m.loss.addr, "127.0.0.1:1") == 0
                   && m.loss.verdict == MM_LOSS_CRASHED && m.loss.n_tasks == 1
                   && m.loss.tasks[0] == mark
                   && m.loss.silent_ms >= loss.silent_ms);
      if (kind == MM_MESH_REPORT)
        ck_assert (m.leaving && mm_room_ahead (&m.capacities[0].room, 1) == 1
                   && mm_room_ahead (&m.capacities[0].room, 2) == 3);
      mm_mesh_msg_clear (&m);
    }
  msgpack_unpacked_destroy (&o);
  msgpack_sbuffer_destroy (&b);
}
END_TEST

/* An instance that stands in for a data centre is linked to by all 146 others.
   Its reports went out each 608 ms on each link; the others gave the link up
   as silent after 600, linked to it again at once, and so on for seconds.
   Whatever they had handed to it was out of sight each time.  */
START_TEST (links_stay_alive_however_many_there_are)
{
  for (uint32_t links = 0; links < 2000; links++)
    ck_assert_int_le (mm_mesh_report_pause_ms (links) + MM_EXEC_TICK_MS,
                      MM_MESH_SILENT_MS / 2);
  ck_assert_int_eq (mm_mesh_report_pause_ms (1), MM_MESH_REPORT_MS);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("mesh");
  TCase *c = tcase_create ("links");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, messages_are_read_as_they_were_packed);
  tcase_add_test (c, few_instances_are_all_linked_to);
  tcase_add_test (c, neighbours_are_bounded_near_and_far);
  tcase_add_test (
      c, lost_neighbours_are_replaced_and_those_who_stand_in_are_taken);
  tcase_add_test (c, links_of_an_instance_stay_bounded_as_instances_are_added);
  tcase_add_test (c,
                  last_instance_of_a_data_centre_is_found_when_the_others_die);
  tcase_add_test (c, links_stay_alive_however_many_there_are);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
