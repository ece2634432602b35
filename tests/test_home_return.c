/* Tests what the home of kept jobs and the owner of upstreams do when their
   memberships were interrupted and the same partitions are assigned to them
   again.  Store and upstreams are simulated in memory, on a clock that the
   test advances.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"
#include "mm_group_table.h"
#include "mm_kept_priv.h"
#include "mm_ownership.h"

#include <check.h>
#include <ev.h>
#include <string.h>

enum
{
  STORE_CALL_MS = 4, /* round trip of a call to the store */
  TASK_MS = 100,     /* run time of a task */
  /* Run time of a task that ends after the membership has expired.  */
  LONG_TASK_MS = MM_GROUP_TTL_MS + 100,
  /* Time in which a home that takes over searches for tasks in doubt and
     starts those that do not run: the lease, a search and some ticks.  */
  TAKEOVER_MS = MM_KEPT_LEASE_EXPIRY_MS + 2 * MM_KEPT_SEARCH_PAUSE_MS
};

static const mm_route queue = {
  .name = "q", .service = "svc", .attempts = 3, .stretch = 3, .slo_ms = 500
};

#define OWNERS_GROUP "room-dc1"

/* ---- the store -------------------------------------------------------- */

/* The groups of homes and of owners, with one partition each, and the log of
   the kept jobs.  */
typedef struct
{
  mm_group_table *group;  /* MM_JOBS_GROUP */
  mm_group_table *owners; /* OWNERS_GROUP */
  uint64_t epoch;         /* highest that was announced */
  uint64_t next_seq;      /* sequence number of the next append */
  GHashTable *records;    /* job id -> GBytes */
  GList *calls;           /* call *, not answered */
  bool down;              /* calls of the instance under test get no answer */
  bool log_down;          /* only its appends get none */
} store;

typedef enum
{
  CALL_JOIN,
  CALL_MEMBERS,
  CALL_APPEND,
  CALL_RECORDS
} call_kind;

/* A call of the instance under test that is not answered yet.  */
typedef struct
{
  call_kind kind;
  mm_time_ms execute_ms; /* when the store carries it out, if it is up */
  mm_time_ms timeout_ms; /* when the caller gives up */
  char *member;          /* of a join */
  mm_group_table *group; /* of a join */
  uint64_t generation;   /* of a join */
  uint64_t epoch;        /* of an append */
  uint64_t seq;          /* of an append */
  GArray *records;       /* of an append: mm_record */
  union
  {
    mm_join_answered join;
    mm_members_answered members;
    mm_append_answered append;
    mm_records_answered records;
  } done;
  void *ctx;
} call;

static call *
send_call (store *s, call_kind kind, mm_time_ms timeout_ms, void *ctx)
{
  call *c = g_new0 (call, 1);
  c->kind = kind;
  c->execute_ms = mm_clock_now_ms () + STORE_CALL_MS;
  c->timeout_ms = mm_clock_now_ms () + timeout_ms;
  c->ctx = ctx;
  s->calls = g_list_append (s->calls, c);
  return c;
}

static void
call_free (call *c)
{
  g_free (c->member);
  if (c->records)
    g_array_free (c->records, TRUE);
  g_free (c);
}

static void
store_join (void *ctx, const char *group, const char *member,
            uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
            mm_join_answered answered, void *answered_ctx)
{
  call *c = send_call (ctx, CALL_JOIN, timeout_ms, answered_ctx);
  store *s = ctx;
  c->member = g_strdup (member);
  c->group = strcmp (group, OWNERS_GROUP) == 0 ? s->owners : s->group;
  c->generation = generation;
  c->done.join = answered;
}

static void
store_members (void *ctx, const char *group, mm_time_ms timeout_ms,
               mm_members_answered answered, void *answered_ctx)
{
  call *c = send_call (ctx, CALL_MEMBERS, timeout_ms, answered_ctx);
  c->done.members = answered;
}

static void
store_append (void *ctx, const mm_append_request *a,
              mm_append_answered answered, void *answered_ctx)
{
  call *c = send_call (ctx, CALL_APPEND, a->timeout_ms, answered_ctx);
  c->epoch = a->epoch;
  c->seq = a->seq;
  c->records = g_array_new (FALSE, FALSE, sizeof (mm_record));
  g_array_set_clear_func (c->records, mm_record_clear);
  for (size_t i = 0; i < a->n_records; i++)
    {
      mm_record r = { .key = g_strdup (a->records[i].key) };
      if (a->records[i].value)
        r.value = g_bytes_ref (a->records[i].value);
      g_array_append_val (c->records, r);
    }
  c->done.append = answered;
}

static void
store_records (void *ctx, uint32_t partition, const char *after,
               mm_time_ms timeout_ms, mm_records_answered answered,
               void *answered_ctx)
{
  call *c = send_call (ctx, CALL_RECORDS, timeout_ms, answered_ctx);
  c->done.records = answered;
}

/* Stores a record; @value: NULL drops the key.  */
static void
put (store *s, const char *key, GBytes *value)
{
  if (value)
    g_hash_table_replace (s->records, g_strdup (key), g_bytes_ref (value));
  else
    g_hash_table_remove (s->records, key);
}

/* Carries an append out, or refuses it.  */
static mm_append_verdict
append (store *s, const call *c)
{
  if (c->epoch < s->epoch)
    return MM_APPEND_FENCED;
  if (c->epoch == s->epoch && c->seq != s->next_seq)
    return MM_APPEND_OUT_OF_SEQ;
  s->epoch = c->epoch;
  s->next_seq = c->seq + (c->records->len > 0);
  for (guint i = 0; i < c->records->len; i++)
    {
      const mm_record *r = &g_array_index (c->records, mm_record, i);
      put (s, r->key, r->value);
    }
  return MM_APPEND_OK;
}

static void
answer_join (const call *c, bool ok)
{
  mm_join_result res = { .ok = ok, .why = "no answer" };
  uint32_t partition = 0;
  if (ok)
    {
      res.generation
          = mm_group_table_join (c->group, c->member, c->generation,
                                 MM_GROUP_TTL_MS, mm_clock_now_ms ());
      const char *holder = mm_group_table_holder (c->group, 0);
      res.n_partitions = holder && strcmp (holder, c->member) == 0;
      res.partitions = &partition;
    }
  c->done.join (&res, c->ctx);
}

static void
answer_records (const store *s, const call *c, bool ok)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (mm_record));
  GHashTableIter it;
  gpointer key, value;
  g_hash_table_iter_init (&it, s->records);
  while (ok && g_hash_table_iter_next (&it, &key, &value))
    {
      mm_record r = { .key = key, .value = value };
      g_array_append_val (found, r);
    }
  mm_records_result res = { .ok = ok,
                            .why = "no answer",
                            .records = (mm_record *)(void *)found->data,
                            .n_records = found->len };
  c->done.records (&res, c->ctx);
  g_array_free (found, TRUE);
}

/* Answers a call; @ok false: it was not carried out and has timed out.  */
static void
answer (store *s, const call *c, bool ok)
{
  mm_members_result members = { .ok = ok, .why = "no answer" };
  mm_append_result appended
      = { .verdict = MM_APPEND_NO_ANSWER, .why = "no answer" };
  switch (c->kind)
    {
    case CALL_JOIN:
      answer_join (c, ok);
      break;
    case CALL_MEMBERS:
      c->done.members (&members, c->ctx);
      break;
    case CALL_APPEND:
      if (ok)
        appended.verdict = append (s, c);
      appended.expected_seq = s->next_seq;
      c->done.append (&appended, c->ctx);
      break;
    case CALL_RECORDS:
      answer_records (s, c, ok);
      break;
    }
}

/* Carries out and answers the calls that are due.  */
static void
store_step (store *s)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_group_table_step (s->group, now);
  mm_group_table_step (s->owners, now);
  GList *next;
  for (GList *l = s->calls; l; l = next)
    {
      call *c = l->data;
      bool up = !s->down && (c->kind != CALL_APPEND || !s->log_down);
      bool executed = up && now >= c->execute_ms;
      next = l->next;
      if (!executed && now < c->timeout_ms)
        continue;
      s->calls = g_list_delete_link (s->calls, l);
      answer (s, c, executed);
      call_free (c);
    }
}

/* ---- the instance under test ------------------------------------------ */

typedef struct
{
  struct ev_loop *loop;
  store store;
  fakes *fakes;
  fake *upstream; /* the first one, NULL: there is none */
  mm_owner *owner;
  mm_mesh *mesh;
  mm_fleet *fleet;
  mm_catalog *catalog;
  mm_predecessors *predecessors;
  mm_kept *kept;
  mm_partitions *partitions; /* of upstreams */
  mm_ownership *ownership;
} fixture;

static mm_partition_state
state_of (void *ctx, const mm_upstream_info *u, uint64_t *fence)
{
  return mm_partitions_upstream_state (((fixture *)ctx)->partitions, u->name,
                                       fence);
}

static void
renew_fence (void *ctx, const mm_upstream_info *u)
{
  mm_partitions_renew_upstream_fence (((fixture *)ctx)->partitions, u->name);
}

static uint64_t
partition_changes (void *ctx)
{
  return mm_partitions_changes (((fixture *)ctx)->partitions);
}

static bool
owns_any (void *ctx)
{
  return mm_partitions_owns_any (((fixture *)ctx)->partitions);
}

/* Ticks the modules in the order of mm_node.  */
static void
fixture_tick (fixture *fx)
{
  mm_partitions_tick (fx->partitions);
  mm_ownership_tick (fx->ownership, true);
  mm_owner_set_confirmed (fx->owner,
                          mm_clock_now_ms ()
                                  - mm_partitions_confirmed_ms (fx->partitions)
                              <= MM_GROUP_CONFIRMED_MS);
  mm_kept_tick (fx->kept, true);
}

static void
fixture_run (fixture *fx, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t++)
    {
      store_step (&fx->store);
      fakes_run (fx->fakes, fx->owner, 1);
      if (mm_clock_now_ms () % MM_EXEC_TICK_MS == 0)
        fixture_tick (fx);
    }
}

/* Returns an instance that is the home of all jobs and owns all upstreams.
 */
static fixture *
fixture_create (void)
{
  fixture *fx = g_new0 (fixture, 1);
  store *s = &fx->store;
  s->group = mm_group_table_create (1);
  s->owners = mm_group_table_create (1);
  s->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
  fx->loop = ev_loop_new (EVFLAG_AUTO);
  fx->fakes = fakes_create ();
  mm_exec_port upstreams = fakes_port (fx->fakes);
  fx->owner = mm_owner_create (&upstreams);
  const char *self = "a@127.0.0.1:1/dc1";
  fx->mesh = mm_mesh_create (fx->loop, self, "dc1", "127.0.0.1",
                             (uint16_t)h_port_base (), fx->owner, NULL);
  ck_assert_ptr_nonnull (fx->mesh);
  fx->fleet = mm_fleet_create (fx->owner, fx->mesh, "dc1");
  fx->catalog = mm_catalog_create ();
  mm_store_port port = { .join = store_join,
                         .members = store_members,
                         .append = store_append,
                         .records = store_records,
                         .ctx = s };
  fx->predecessors = mm_predecessors_create (&port, self);
  mm_kept_deps deps = { .store = port,
                        .mesh = fx->mesh,
                        .fleet = fx->fleet,
                        .owner = fx->owner,
                        .catalog = fx->catalog,
                        .predecessors = fx->predecessors,
                        .member = self,
                        .n_partitions = 1 };
  fx->kept = mm_kept_create (&deps);
  fx->partitions = mm_partitions_create (&port, OWNERS_GROUP, self, 1);
  mm_ownership_partitions partitions = { .state_of = state_of,
                                         .renew_fence = renew_fence,
                                         .change_count = partition_changes,
                                         .owns_any = owns_any,
                                         .ctx = fx };
  fx->ownership = mm_ownership_create (fx->catalog, fx->owner, &partitions);
  fixture_run (fx, 500);
  ck_assert_uint_eq (s->epoch, mm_group_table_generation (s->group));
  return fx;
}

static void
fixture_destroy (fixture *fx)
{
  store *s = &fx->store;
  mm_kept_destroy (fx->kept);
  mm_ownership_destroy (fx->ownership);
  mm_partitions_destroy (fx->partitions);
  for (GList *l = s->calls; l; l = l->next)
    {
      answer (s, l->data, false);
      call_free (l->data);
    }
  g_list_free (s->calls);
  mm_predecessors_destroy (fx->predecessors);
  mm_fleet_destroy (fx->fleet);
  mm_mesh_destroy (fx->mesh);
  mm_owner_destroy (fx->owner);
  mm_catalog_destroy (fx->catalog);
  fakes_destroy (fx->fakes);
  g_hash_table_destroy (s->records);
  mm_group_table_destroy (s->group);
  mm_group_table_destroy (s->owners);
  ev_loop_destroy (fx->loop);
  g_free (fx);
}

/* Lists an upstream on which a task can run.  */
static void
add_upstream (fixture *fx)
{
  fx->upstream = fakes_add (fx->fakes, "u", 32000);
  mm_catalog_origin read = { .as_of_ms = mm_clock_now_ms () };
  mm_catalog_put (fx->catalog, fake_info (fx->upstream), &read);
}

/* Lists another upstream, which the tasks of job() fit more tightly.  */
static void
add_small_upstream (fixture *fx)
{
  mm_catalog_origin read = { .as_of_ms = mm_clock_now_ms () };
  fake *x = fakes_add (fx->fakes, "v", 1000);
  mm_catalog_put (fx->catalog, fake_info (x), &read);
}

static uint32_t
starts (const fixture *fx)
{
  return fake_starts (fx->upstream);
}

/* Returns a job whose @n_steps steps run one after the other, one task
   each.  */
static mm_submission *
job (const char *id, uint32_t n_steps, mm_time_ms run_ms)
{
  mm_submission *s = g_new0 (mm_submission, 1);
  g_strlcpy (s->id, id, sizeof s->id);
  s->payload = g_strdup_printf ("%d %d", 1000, (int)run_ms);
  s->n_steps = n_steps;
  s->steps = g_new0 (mm_step, n_steps);
  for (uint32_t i = 0; i < n_steps; i++)
    {
      s->steps[i].count = 1;
      s->steps[i].estimate_ms = run_ms;
      s->steps[i].resources = (mm_resources){ .cpu_milli = 1000, .mem_mb = 1 };
      if (i == 0)
        continue;
      s->steps[i].depends_on = g_new0 (uint32_t, 1);
      s->steps[i].depends_on[0] = i - 1;
      s->steps[i].n_dependencies = 1;
    }
  return s;
}

static void
on_answered (void *ctx, const mm_kept_answer *a)
{
  *(mm_kept_answer *)ctx = *a;
}

/* Submits a job, which must be accepted.  */
static void
submit (fixture *fx, const char *id, uint32_t n_steps, mm_time_ms run_ms)
{
  mm_kept_answer a = { .status = MM_KEPT_BUSY };
  mm_kept_submit (fx->kept, job (id, n_steps, run_ms), &queue, on_answered,
                  &a);
  fixture_run (fx, 50);
  ck_assert_int_eq (a.status, MM_KEPT_OK);
}

static void
assert_phase (fixture *fx, const char *id, mm_job_phase phase)
{
  mm_kept_answer a = { .status = MM_KEPT_BUSY };
  mm_kept_state (fx->kept, id, on_answered, &a);
  fixture_run (fx, 100);
  ck_assert_int_eq (a.status, MM_KEPT_OK);
  ck_assert_int_eq (a.phase, phase);
}

/* ---- another instance ------------------------------------------------- */

/* The other instance becomes the home: it announces its epoch to the log and
   stores a job that runs, or with an outcome.  */
static void
store_elsewhere (fixture *fx, const char *job_id, mm_job_phase phase)
{
  store *s = &fx->store;
  ck_assert_str_eq (mm_group_table_holder (s->group, 0), "b");
  s->epoch = mm_group_table_generation (s->group);
  s->next_seq = 1;
  mm_job_record *rec
      = mm_job_record_create (job (job_id, 1, LONG_TASK_MS), &queue);
  rec->phase = phase;
  if (mm_job_phase_ended (phase))
    mm_job_record_set_outcome (rec, phase);
  GBytes *value = mm_job_record_pack (rec);
  put (s, job_id, value);
  g_bytes_unref (value);
  mm_job_record_destroy (rec);
}

/* The memberships of the instance under test expire, as the store does not
   answer it, and the other instance gets the partitions.  */
static void
lose_partitions (fixture *fx)
{
  store *s = &fx->store;
  s->down = true;
  fixture_run (fx, MM_GROUP_TTL_MS + 100);
  mm_group_table_join (s->group, "b", 0, 10000, mm_clock_now_ms ());
  mm_group_table_join (s->owners, "b", 0, 10000, mm_clock_now_ms ());
}

/* The other instance leaves, and the store answers the instance under test
   again, which gets the partitions back with its next calls.  */
static void
regain_partitions (fixture *fx)
{
  mm_group_table_leave (fx->store.group, "b");
  mm_group_table_leave (fx->store.owners, "b");
  fx->store.down = false;
}

/* ---- tests ------------------------------------------------------------ */

/* Guards against a home that starts a task again that its successor has
   finished, because the partition is back before the home noticed the loss. */
START_TEST (returned_home_starts_no_task_that_another_home_finished)
{
  fixture *fx = fixture_create ();
  submit (fx, "j", 1, TASK_MS);
  lose_partitions (fx);
  store_elsewhere (fx, "j", MM_JOB_COMPLETED);
  add_upstream (fx);
  regain_partitions (fx);
  /* The log is slower than the group.  */
  fx->store.log_down = true;
  fixture_run (fx, 500);
  ck_assert_uint_eq (starts (fx), 0);
  fx->store.log_down = false;
  fixture_run (fx, 2 * TAKEOVER_MS);
  ck_assert_uint_eq (starts (fx), 0);
  assert_phase (fx, "j", MM_JOB_COMPLETED);
  fixture_destroy (fx);
}
END_TEST

/* Guards against the same when no membership expires: the store takes the
   partition away and gives it back between two joins.  */
START_TEST (partition_moved_away_and_back_is_read_again)
{
  fixture *fx = fixture_create ();
  store *s = &fx->store;
  submit (fx, "j", 1, TASK_MS);
  mm_group_table_join (s->group, "b", 0, 10000, mm_clock_now_ms ());
  s->down = true;
  while (strcmp (mm_group_table_holder (s->group, 0), "b") != 0)
    mm_group_table_reassign_all (s->group);
  fixture_run (fx, MM_GROUP_TTL_MS - MM_GROUP_HEARTBEAT_MS - 50);
  store_elsewhere (fx, "j", MM_JOB_COMPLETED);
  mm_group_table_reassign_all (s->group);
  uint64_t generation = mm_group_table_generation (s->group);
  s->down = false;
  add_upstream (fx);
  fixture_run (fx, 2 * TAKEOVER_MS);
  ck_assert_uint_eq (starts (fx), 0);
  ck_assert_uint_eq (mm_group_table_generation (s->group), generation);
  assert_phase (fx, "j", MM_JOB_COMPLETED);
  fixture_destroy (fx);
}
END_TEST

/* Guards against the loss of unacknowledged ends: an owner drops them when the
   home answers that their job does not exist, and a home that does not know of
   its successor's jobs must not answer so.  */
START_TEST (returned_home_denies_no_job_that_another_home_accepted)
{
  fixture *fx = fixture_create ();
  lose_partitions (fx);
  store_elsewhere (fx, "k", MM_JOB_COMPLETED);
  regain_partitions (fx);
  fx->store.log_down = true;
  mm_kept_answer a;
  for (int i = 0; i < 20; i++)
    {
      fixture_run (fx, MM_EXEC_TICK_MS);
      mm_kept_answer_foreign (fx->kept, "k", &a);
      ck_assert_int_ne (a.status, MM_KEPT_NO_JOB);
    }
  fx->store.log_down = false;
  fixture_run (fx, TAKEOVER_MS);
  mm_kept_answer_foreign (fx->kept, "k", &a);
  ck_assert_int_eq (a.status, MM_KEPT_OK);
  fixture_destroy (fx);
}
END_TEST

/* Runs until the upstream lists no end.  Returns false if the job ends before
   that.  */
static bool
all_ends_acknowledged (fixture *fx, const char *id)
{
  mm_kept_answer a = { .status = MM_KEPT_OK, .phase = MM_JOB_RUNNING };
  while (!mm_job_phase_ended (a.phase))
    {
      if (fake_unacked_ends (fx->upstream) == 0)
        return true;
      fixture_run (fx, 5);
      mm_kept_answer_foreign (fx->kept, id, &a);
    }
  return false;
}

/* Guards against ends that hold up all later ones at their upstream: the end
   is stored, but the session that found it is gone before it acknowledges it,
   and the job goes on.  */
START_TEST (end_left_by_an_earlier_session_is_acknowledged_while_its_job_runs)
{
  for (mm_time_ms offset = 0; offset <= 300; offset += 20)
    {
      fixture *fx = fixture_create ();
      add_upstream (fx);
      fixture_run (fx, 200);
      submit (fx, "j", 4, 1000);
      while (fake_unacked_ends (fx->upstream) == 0)
        fixture_run (fx, 1);
      fixture_run (fx, offset);
      uint64_t fence = mm_group_table_generation (fx->store.owners) + 1;
      mm_owner_add_upstream (fx->owner, fake_info (fx->upstream),
                             fence << MM_FENCE_RESTART_BITS);
      fixture_run (fx, 50);
      ck_assert_msg (all_ends_acknowledged (fx, "j"),
                     "ends are left, %d ms after the first one", (int)offset);
      fixture_destroy (fx);
    }
}
END_TEST

/* Guards against a second run of a task beside one of another owner: that
   owner got the upstream while this instance was away, is cut off from all but
   the upstream now, and renews the lease of its run.  */
START_TEST (run_of_another_owner_is_found_before_its_task_starts)
{
  fixture *fx = fixture_create ();
  add_upstream (fx);
  add_small_upstream (fx);
  fixture_run (fx, 200);
  lose_partitions (fx);
  store_elsewhere (fx, "j", MM_JOB_RUNNING);
  uint64_t fence = mm_group_table_generation (fx->store.owners)
                   << MM_FENCE_RESTART_BITS;
  fake_start_foreign (fx->upstream, "j", fence, 1000, 2 * LONG_TASK_MS);
  ck_assert_uint_eq (starts (fx), 1);
  regain_partitions (fx);
  for (int i = 0; i < 50; i++)
    {
      fake_renew_foreign (fx->upstream, fence);
      fixture_run (fx, 100);
    }
  ck_assert_uint_eq (fakes_count (fx->fakes).double_runs, 0);
  assert_phase (fx, "j", MM_JOB_COMPLETED);
  fixture_destroy (fx);
}
END_TEST

/* Guards against an outage of the store that stops every running task of kept
   jobs: a home and owner that no other has replaced goes on where it was.  */
START_TEST (home_that_nobody_replaced_goes_on_after_an_outage)
{
  fixture *fx = fixture_create ();
  store *s = &fx->store;
  add_upstream (fx);
  fixture_run (fx, 100);
  submit (fx, "j", 2, LONG_TASK_MS);
  ck_assert_uint_eq (fake_running (fx->upstream), 1);
  s->down = true;
  fixture_run (fx, LONG_TASK_MS + 100);
  ck_assert_uint_eq (fake_running (fx->upstream), 0);
  ck_assert_uint_eq (starts (fx), 1);
  s->down = false;
  /* The call that waits for an answer fails first.  */
  fixture_run (fx, MM_STORE_TIMEOUT_MS);
  ck_assert_uint_eq (starts (fx), 2);
  fixture_run (fx, LONG_TASK_MS + 100);
  assert_phase (fx, "j", MM_JOB_COMPLETED);
  ck_assert_uint_eq (starts (fx), 2);
  fixture_destroy (fx);
}
END_TEST

/* Guards against the same for a run that is longer than the outage.  */
START_TEST (run_goes_on_over_an_outage)
{
  fixture *fx = fixture_create ();
  store *s = &fx->store;
  add_upstream (fx);
  fixture_run (fx, 100);
  submit (fx, "j", 1, 3 * LONG_TASK_MS);
  s->down = true;
  fixture_run (fx, LONG_TASK_MS);
  s->down = false;
  fixture_run (fx, 2 * LONG_TASK_MS + 100);
  assert_phase (fx, "j", MM_JOB_COMPLETED);
  ck_assert_uint_eq (starts (fx), 1);
  fixture_destroy (fx);
}
END_TEST

/* Guards against a home whose timers are late, as after a stall: the end of a
   run must not start the next task when the confirmation of the membership has
   become too old since the last tick.  */
START_TEST (end_of_a_run_starts_nothing_at_an_unconfirmed_home)
{
  fixture *fx = fixture_create ();
  add_upstream (fx);
  fixture_run (fx, 100);
  submit (fx, "j", 2, LONG_TASK_MS);
  ck_assert_uint_eq (fake_running (fx->upstream), 1);
  fakes_run (fx->fakes, NULL, LONG_TASK_MS + 100);
  ck_assert_uint_eq (starts (fx), 1);
  ck_assert_uint_eq (fake_running (fx->upstream), 0);
  fixture_destroy (fx);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("home_return");
  TCase *tc = tcase_create ("home_return");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, returned_home_starts_no_task_that_another_home_finished);
  tcase_add_test (tc, partition_moved_away_and_back_is_read_again);
  tcase_add_test (tc, returned_home_denies_no_job_that_another_home_accepted);
  tcase_add_test (
      tc, end_left_by_an_earlier_session_is_acknowledged_while_its_job_runs);
  tcase_add_test (tc, run_of_another_owner_is_found_before_its_task_starts);
  tcase_add_test (tc, home_that_nobody_replaced_goes_on_after_an_outage);
  tcase_add_test (tc, run_goes_on_over_an_outage);
  tcase_add_test (tc, end_of_a_run_starts_nothing_at_an_unconfirmed_home);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
