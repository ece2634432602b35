/* Upstreams that list only some of their ends in one answer: the others follow
   once the home has stored the first ones.  A task whose end is not listed yet
   must not be taken for one that never ran.  Two owners hold the upstreams in
   turn, in memory and on simulated time.  */
#include "config.h"
#include "harness.h"
#include "mm_kept_wire.h"
#include "owner_fixture.h"

#include <string.h>

#define TASK_CPU 1000

/* A task of a kept job, as its home knows it.  */
typedef struct
{
  struct home *home;
  char job[16];
  enum
  {
    WAITING,
    DISPATCHED,
    IN_DOUBT,
    DONE
  } state;
  mm_work *work;   /* DISPATCHED */
  mm_owner *owner; /* DISPATCHED: where */
  mm_time_ms in_doubt_ms;
  mm_time_ms stored_ms; /* DONE: when that is stored */
} kept_task;

/* An end that is acknowledged at its owner once it is stored.  */
typedef struct
{
  mm_owner *owner;
  mm_task_id task;
  uint32_t run_hash;
  mm_time_ms stored_ms;
} pending_ack;

enum
{
  MAX_TASKS = 40,
  UPSTREAMS = 2
};

/* The home of all tasks, and the owners of the upstreams.  */
typedef struct home
{
  fixture fx;          /* with the first owner */
  mm_owner *owners[2]; /* the first owner, the second one */
  fake *upstreams[UPSTREAMS];
  int current; /* the owner that has the upstreams */
  uint64_t fence;
  mm_time_ms noticed_ms; /* when the owner before learns of it, 0: it has */
  kept_task tasks[MAX_TASKS];
  int n_tasks;
  mm_time_ms store_ms; /* how long the store takes */
  GArray *acks;        /* pending_ack */
  mm_time_ms searched_ms, resolved_ms;
} home;

static void
home_init (home *h, size_t max_ends, int n_tasks)
{
  memset (h, 0, sizeof *h);
  h->fx = fixture_create ();
  mm_exec_port port = fakes_port (h->fx.upstreams);
  h->owners[0] = h->fx.owner;
  h->owners[1] = mm_owner_create (&port);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      h->upstreams[i] = fixture_add (&h->fx, i ? "b" : "a");
      fake_mode_of (h->upstreams[i])->max_ends_per_answer = max_ends;
    }
  h->fence = 5;
  mm_owner_set_confirmed (h->owners[0], true);
  h->acks = g_array_new (FALSE, FALSE, sizeof (pending_ack));
  h->n_tasks = n_tasks;
  for (int i = 0; i < n_tasks; i++)
    {
      h->tasks[i].home = h;
      g_snprintf (h->tasks[i].job, sizeof h->tasks[i].job, "job-%d", i);
    }
}

static void
home_clear (home *h)
{
  mm_owner_destroy (h->owners[1]);
  fixture_destroy (&h->fx);
  g_array_free (h->acks, TRUE);
}

static mm_task_id
id_of (const kept_task *t)
{
  mm_task_id id = { 0 };
  g_strlcpy (id.job, t->job, sizeof id.job);
  return id;
}

static void
set_in_doubt (kept_task *t)
{
  t->state = IN_DOUBT;
  t->in_doubt_ms = mm_clock_now_ms ();
}

/* Handles an end that is certain, and has it acknowledged once it is stored.
 */
static void
record_end (kept_task *t, mm_end how, uint32_t run_hash, mm_owner *owner)
{
  home *h = t->home;
  pending_ack ack = { .owner = owner,
                      .task = id_of (t),
                      .run_hash = run_hash,
                      .stored_ms = mm_clock_now_ms () + h->store_ms };
  g_array_append_val (h->acks, ack);
  if (how != MM_END_DONE)
    return;
  t->state = DONE;
  t->stored_ms = ack.stored_ms;
}

static void
on_kept_done (void *ctx, const mm_work_result *r)
{
  kept_task *t = ctx;
  t->work = NULL;
  if (r->how == MM_END_UNKNOWN)
    {
      set_in_doubt (t);
      return;
    }
  t->state = WAITING;
  if (r->how != MM_END_NOT_RUN)
    record_end (t, r->how, mm_run_hash (r->upstream, r->run), t->owner);
}

static void
dispatch (kept_task *t, mm_time_ms run_ms)
{
  mm_task_request r = fakes_task (t->job, 0, TASK_CPU, run_ms);
  r.kept = true;
  t->state = DISPATCHED;
  t->owner = t->home->owners[t->home->current];
  t->work = mm_owner_submit (t->owner, &r, on_kept_done, t);
}

/* Time until the owner before learns from the store that it has lost its
   upstreams.  */
#define NOTICE_MS 300

/* The store assigns the upstreams to the other owner.  */
static void
move_upstreams (home *h)
{
  h->noticed_ms = mm_clock_now_ms () + NOTICE_MS;
  mm_owner_set_confirmed (h->owners[h->current], false);
  h->current = 1 - h->current;
  h->fence++;
  mm_owner_set_confirmed (h->owners[h->current], true);
  for (int i = 0; i < UPSTREAMS; i++)
    mm_owner_add_upstream (h->owners[h->current], fake_info (h->upstreams[i]),
                           h->fence);
}

static kept_task *
find_task (home *h, const char *job)
{
  for (int i = 0; i < h->n_tasks; i++)
    if (strcmp (h->tasks[i].job, job) == 0)
      return &h->tasks[i];
  ck_abort_msg ("an end of %s, which is no job", job);
  return NULL;
}

/* Searches the owners for the tasks of @set.  Returns whether none of them
   runs anywhere.  */
static bool
search (home *h, GHashTable *set, bool record)
{
  mm_search_result result = mm_search_result_init ();
  for (int i = 0; i < 2; i++)
    {
      guint n_before = result.ends->len;
      mm_owner_search (h->owners[i], set, &result);
      for (guint k = n_before; record && k < result.ends->len; k++)
        {
          const mm_found_end *e
              = &g_array_index (result.ends, mm_found_end, k);
          record_end (find_task (h, e->task.job), e->how, e->run_hash,
                      h->owners[i]);
        }
    }
  bool none_left
      = result.present == 0 && result.clear_upstreams->len == UPSTREAMS;
  mm_search_result_clear (&result);
  return none_left;
}

/* Searches for the tasks that are in doubt for long enough.  */
static void
search_in_doubt (home *h, mm_time_ms now)
{
  if (now - h->searched_ms < MM_KEPT_SEARCH_PAUSE_MS)
    return;
  h->searched_ms = now;
  GHashTable *set = mm_task_set_new ();
  for (int i = 0; i < h->n_tasks; i++)
    {
      kept_task *t = &h->tasks[i];
      mm_task_id id = id_of (t);
      if (t->state == IN_DOUBT
          && now - t->in_doubt_ms >= MM_KEPT_LEASE_EXPIRY_MS)
        g_hash_table_add (set, g_memdup2 (&id, sizeof id));
    }
  if (g_hash_table_size (set) && search (h, set, true))
    for (int i = 0; i < h->n_tasks; i++)
      {
        mm_task_id id = id_of (&h->tasks[i]);
        if (h->tasks[i].state == IN_DOUBT && g_hash_table_contains (set, &id))
          h->tasks[i].state = WAITING;
      }
  g_hash_table_destroy (set);
}

/* Acknowledges the ends that are stored.  */
static void
acknowledge_stored (home *h, mm_time_ms now)
{
  for (guint i = h->acks->len; i-- > 0;)
    {
      pending_ack a = g_array_index (h->acks, pending_ack, i);
      if (a.stored_ms > now)
        continue;
      mm_owner_acknowledge_end (a.owner, &a.task, a.run_hash);
      g_array_remove_index_fast (h->acks, i);
    }
}

/* Tells the owner which jobs of earlier owners' ends are over.  */
static void
resolve_foreign (home *h, mm_time_ms now)
{
  if (now - h->resolved_ms < MM_KEPT_FOREIGN_PAUSE_MS)
    return;
  h->resolved_ms = now;
  GHashTable *ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mm_owner *o = h->owners[h->current];
  mm_owner_foreign_jobs (o, ids);
  for (int i = 0; i < h->n_tasks; i++)
    if (h->tasks[i].state == DONE && h->tasks[i].stored_ms <= now
        && g_hash_table_contains (ids, h->tasks[i].job))
      mm_owner_forget_job (o, h->tasks[i].job);
  g_hash_table_destroy (ids);
}

/* The owner before gives up its sessions.  */
static void
notice_move (home *h, mm_time_ms now)
{
  if (!h->noticed_ms || now < h->noticed_ms)
    return;
  h->noticed_ms = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    mm_owner_remove_upstream (h->owners[1 - h->current],
                              fake_info (h->upstreams[i])->name);
}

static void
home_run (home *h, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t += 5)
    {
      fakes_run (h->fx.upstreams, h->owners[0], 5);
      mm_owner_tick (h->owners[1]);
      mm_time_ms now = mm_clock_now_ms ();
      notice_move (h, now);
      acknowledge_stored (h, now);
      resolve_foreign (h, now);
      search_in_doubt (h, now);
    }
}

/* Returns whether a search for this task alone clears all upstreams.  */
static bool
is_clear_of (home *h, const kept_task *t)
{
  mm_task_id id = id_of (t);
  GHashTable *set = mm_task_set_new ();
  g_hash_table_add (set, g_memdup2 (&id, sizeof id));
  bool clear = search (h, set, false);
  g_hash_table_destroy (set);
  return clear;
}

/* Guards against a second run of a task that was done, when its end is behind
   others that the next owner's first list has room for.  */
START_TEST (upstream_is_not_clear_while_it_lists_only_some_ends)
{
  home h;
  home_init (&h, 3, 8);
  home_run (&h, 50);
  h.store_ms = 1000000;
  for (int i = 0; i < 8; i++)
    {
      dispatch (&h.tasks[i], 50);
      home_run (&h, 100);
    }
  ck_assert_uint_eq (fake_unacked_ends (h.upstreams[0])
                         + fake_unacked_ends (h.upstreams[1]),
                     8);
  move_upstreams (&h);
  home_run (&h, 2 * NOTICE_MS);
  ck_assert (!is_clear_of (&h, &h.tasks[7]));
  home_clear (&h);
}
END_TEST

/* Guards against ends that are never stored: those that are listed must be
   found although the upstream is not clear, as the others follow only then. */
START_TEST (ends_are_found_page_by_page)
{
  home h;
  home_init (&h, 2, 8);
  home_run (&h, 50);
  h.store_ms = 1000000;
  for (int i = 0; i < 8; i++)
    {
      dispatch (&h.tasks[i], 50);
      home_run (&h, 100);
    }
  /* The home is lost before it has stored anything.  */
  g_array_set_size (h.acks, 0);
  for (int i = 0; i < 8; i++)
    set_in_doubt (&h.tasks[i]);
  h.store_ms = 20;
  move_upstreams (&h);
  home_run (&h, MM_KEPT_LEASE_EXPIRY_MS + 8 * 1000);
  for (int i = 0; i < 8; i++)
    ck_assert_int_eq (h.tasks[i].state, DONE);
  ck_assert_uint_eq (fakes_count (h.fx.upstreams).repeated, 0);
  home_clear (&h);
}
END_TEST

/* Changes one thing at random: owners, a busy store, failing upstreams, a home
   that is lost with what it had not stored.  */
static void
disturb (home *h, GRand *rand)
{
  mm_time_ms now = mm_clock_now_ms ();
  switch (g_rand_int_range (rand, 0, 5))
    {
    case 0:
      move_upstreams (h);
      break;
    case 1:
      h->store_ms = g_rand_int_range (rand, 5, 1500);
      break;
    case 2:
      fake_mode_of (h->upstreams[g_rand_int_range (rand, 0, UPSTREAMS)])
          ->fails_tasks
          = g_rand_boolean (rand);
      break;
    case 3:
      g_array_set_size (h->acks, 0);
      for (int i = 0; i < h->n_tasks; i++)
        {
          kept_task *t = &h->tasks[i];
          if (t->work)
            mm_owner_cancel (t->owner, t->work);
          t->work = NULL;
          if (t->state != DONE || t->stored_ms > now)
            set_in_doubt (t);
        }
      break;
    default:
      break;
    }
}

static void
dispatch_waiting (home *h, GRand *rand)
{
  for (int i = 0; i < h->n_tasks; i++)
    if (h->tasks[i].state == WAITING && g_rand_int_range (rand, 0, 3) == 0)
      dispatch (&h->tasks[i], g_rand_int_range (rand, 20, 800));
}

static void
assert_done_once (const home *h, guint32 seed)
{
  for (int i = 0; i < h->n_tasks; i++)
    {
      const kept_task *t = &h->tasks[i];
      mm_task_id id = id_of (t);
      uint32_t done = fake_done_runs (h->upstreams[0], &id)
                      + fake_done_runs (h->upstreams[1], &id);
      ck_assert_msg (done <= 1, "seed %u: %s was done %u times", seed, t->job,
                     done);
      ck_assert_msg (t->state == DONE, "seed %u: %s is not done (state %d)",
                     seed, t->job, t->state);
    }
}

/* Guards against second runs, and against tasks that wait for ever, whatever
   keeps ends from being stored.  */
START_TEST (no_task_is_done_twice_while_ends_are_listed_in_parts)
{
  for (guint32 seed = 0; seed < 200; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      home h;
      home_init (&h, (size_t)g_rand_int_range (rand, 1, 6), MAX_TASKS);
      for (int round = 0; round < 40; round++)
        {
          dispatch_waiting (&h, rand);
          home_run (&h, g_rand_int_range (rand, 5, 400));
          disturb (&h, rand);
        }
      h.store_ms = 20;
      for (int i = 0; i < UPSTREAMS; i++)
        fake_mode_of (h.upstreams[i])->fails_tasks = false;
      for (int round = 0; round < 100; round++)
        {
          dispatch_waiting (&h, rand);
          home_run (&h, 200);
        }
      assert_done_once (&h, seed);
      home_clear (&h);
      g_rand_free (rand);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("paged_ends");
  TCase *c = tcase_create ("ends");
  tcase_set_timeout (c, 120);
  tcase_add_test (c, upstream_is_not_clear_while_it_lists_only_some_ends);
  tcase_add_test (c, ends_are_found_page_by_page);
  tcase_add_test (c, no_task_is_done_twice_while_ends_are_listed_in_parts);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
