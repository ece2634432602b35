/* Tests the ownership of upstreams through the store's groups, the upstream
   list and the streams, under faults.  The tests set the clock.  */
#include "config.h"
#include "mm_catalog.h"
#include "mm_group_table.h"
#include "mm_partitions.h"
#include "mm_stream.h"
#include "harness.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PARTITIONS 16
#define INSTANCES 3
#define CALL_MS 4 /* round trip of a store call without faults */
/* Time for two handovers in a row, each of which takes its full time.  */
#define HANDOVERS_MS (2 * (MM_HANDOVER_MS + MM_GROUP_HEARTBEAT_MS))

static mm_time_ms now_ms;

static mm_time_ms
test_clock (void *ctx)
{
  return now_ms;
}

/* ---- a store with one group ------------------------------------------- */

/* Faults of the calls of one instance to the store.  */
typedef struct
{
  bool disconnected;   /* calls are neither carried out nor answered */
  bool lose_answers;   /* calls are carried out, but not answered */
  bool refused;        /* calls are answered as not carried out */
  mm_time_ms delay_ms; /* added to the time of a call */
} faults;

/* A call of an instance to the store that is not answered yet.  */
typedef struct
{
  mm_time_ms execute_ms; /* when the store carries the call out */
  mm_time_ms answer_ms;  /* when the caller gets the answer or a timeout */
  bool leave;            /* a call to leave the group, else to join */
  bool executed;         /* the store has carried the call out */
  bool answer_lost;      /* the caller gets a timeout */
  bool refused;          /* the store does not carry the call out */
  char member[32];       /* name of the instance that calls */
  uint64_t generation;
  mm_time_ms ttl_ms;
  mm_join_result result;
  uint32_t partitions[PARTITIONS];
  mm_join_answered done;
  void *ctx;
} store_call;

/* The store as one instance reaches it.  */
typedef struct
{
  mm_group_table *group;
  faults *faults; /* of the instance */
  GList **calls;  /* of all instances, store_call * */
} instance_store;

/* Carries a call out at the store and fills in its result.  */
static void
execute (mm_group_table *g, store_call *c)
{
  c->executed = true;
  c->result.ok = true;
  if (c->leave)
    {
      mm_group_table_leave (g, c->member);
      return;
    }
  c->result.generation
      = mm_group_table_join (g, c->member, c->generation, c->ttl_ms, now_ms);
  for (uint32_t i = 0; i < PARTITIONS; i++)
    {
      const char *owner = mm_group_table_holder (g, i);
      if (owner && strcmp (owner, c->member) == 0)
        c->partitions[c->result.n_partitions++] = i;
    }
  c->result.partitions = c->partitions;
}

/* Sends a call to the store, which carries it out after half of the round
   trip.  */
static void
queue_call (instance_store *s, store_call *c, const char *member,
            mm_time_ms timeout_ms, mm_join_answered done, void *ctx)
{
  g_strlcpy (c->member, member, sizeof c->member);
  mm_time_ms round_trip_ms = CALL_MS + s->faults->delay_ms;
  c->execute_ms = s->faults->disconnected || s->faults->refused
                      ? G_MAXINT64
                      : now_ms + round_trip_ms / 2;
  c->refused = s->faults->refused && !s->faults->disconnected;
  c->answer_lost = s->faults->disconnected || s->faults->lose_answers;
  c->answer_ms
      = now_ms
        + (c->answer_lost ? timeout_ms : MIN (round_trip_ms, timeout_ms));
  c->result.why = "no answer";
  c->done = done;
  c->ctx = ctx;
  *s->calls = g_list_append (*s->calls, c);
}

static void
store_join (void *ctx, const char *group, const char *member,
            uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
            mm_join_answered done, void *done_ctx)
{
  store_call *c = g_new0 (store_call, 1);
  c->generation = generation;
  c->ttl_ms = ttl_ms;
  queue_call (ctx, c, member, timeout_ms, done, done_ctx);
}

static void
store_leave (void *ctx, const char *group, const char *member,
             mm_time_ms timeout_ms, mm_join_answered done, void *done_ctx)
{
  store_call *c = g_new0 (store_call, 1);
  c->leave = true;
  queue_call (ctx, c, member, timeout_ms, done, done_ctx);
}

/* A store with one group, and the instances that join it.  */
typedef struct
{
  mm_group_table *group;
  GList *calls;                         /* store_call *, not answered */
  faults faults[INSTANCES];             /* by index of the instance */
  instance_store stores[INSTANCES];     /* by index of the instance */
  mm_partitions *partitions[INSTANCES]; /* NULL: has not joined */
} fixture;

static fixture *
fixture_create (void)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  fixture *f = g_new0 (fixture, 1);
  f->group = mm_group_table_create (PARTITIONS);
  return f;
}

/* Starts instance @i, which joins the group.  */
static void
fixture_join (fixture *f, int i)
{
  f->stores[i] = (instance_store){ .group = f->group,
                                   .faults = &f->faults[i],
                                   .calls = &f->calls };
  mm_store_port port
      = { .join = store_join, .leave = store_leave, .ctx = &f->stores[i] };
  char name[16];
  snprintf (name, sizeof name, "node%d", i);
  f->partitions[i] = mm_partitions_create (&port, "room", name, PARTITIONS);
  mm_partitions_defer_in_outages (f->partitions[i]);
}

/* Advances the clock by 1 ms: carries out and answers the calls that are due,
   then gives the instances their tick.  */
static void
fixture_step (fixture *f)
{
  now_ms++;
  mm_group_table_step (f->group, now_ms);
  GList *next;
  for (GList *l = f->calls; l; l = next)
    {
      store_call *c = l->data;
      if (!c->executed && now_ms >= c->execute_ms)
        execute (f->group, c);
      next = l->next;
      if (now_ms < c->answer_ms)
        continue;
      f->calls = g_list_delete_link (f->calls, l);
      if (c->answer_lost)
        c->result.ok = false;
      c->result.nothing_done = c->refused && !c->answer_lost;
      c->done (&c->result, c->ctx);
      g_free (c);
    }
  for (int i = 0; i < INSTANCES; i++)
    if (f->partitions[i] && now_ms % MM_EXEC_TICK_MS == 0)
      mm_partitions_tick (f->partitions[i]);
}

static void
fixture_run (fixture *f, mm_time_ms ms)
{
  for (mm_time_ms i = 0; i < ms; i++)
    fixture_step (f);
}

static void
fixture_destroy (fixture *f)
{
  for (int i = 0; i < INSTANCES; i++)
    mm_partitions_destroy (f->partitions[i]);
  for (GList *l = f->calls; l; l = l->next)
    {
      store_call *c = l->data;
      c->result.ok = false;
      c->done (&c->result, c->ctx);
      g_free (c);
    }
  g_list_free (f->calls);
  mm_group_table_destroy (f->group);
  mm_clock_set_source (NULL, NULL);
  g_free (f);
}

#define UPSTREAMS 60

static void
upstream_name (char *out, size_t cap, int i)
{
  snprintf (out, cap, "upstream-%d", i);
}

/* Counts the instances that own an upstream, and so may start tasks there.
   Stores the highest of their fencing tokens in @highest_fence, 0 if no
   instance owns the upstream.  */
static int
count_owners (const fixture *f, int upstream, uint64_t *highest_fence)
{
  char name[32];
  int n = 0;
  upstream_name (name, sizeof name, upstream);
  *highest_fence = 0;
  for (int i = 0; i < INSTANCES; i++)
    {
      uint64_t fence = 0;
      if (f->partitions[i]
          && mm_partitions_upstream_state (f->partitions[i], name, &fence)
                 == MM_PARTITION_OWNED)
        {
          n++;
          *highest_fence = MAX (*highest_fence, fence);
        }
    }
  return n;
}

/* Counts the upstreams that no instance owns.  */
static int
count_unowned (const fixture *f)
{
  int n = 0;
  uint64_t fence;
  for (int i = 0; i < UPSTREAMS; i++)
    n += count_owners (f, i, &fence) == 0;
  return n;
}

static void
assert_one_owner_each (const fixture *f)
{
  uint64_t fence;
  for (int i = 0; i < UPSTREAMS; i++)
    ck_assert_int_eq (count_owners (f, i, &fence), 1);
}

/* Runs for @ms and checks that no upstream ever has two owners.  */
static void
assert_never_two_owners (fixture *f, mm_time_ms ms)
{
  uint64_t fence;
  for (mm_time_ms t = 0; t < ms; t++)
    {
      fixture_step (f);
      for (int i = 0; i < UPSTREAMS; i++)
        ck_assert_int_le (count_owners (f, i, &fence), 1);
    }
}

/* Instances join one after the other, and one leaves.  Without faults, two
   instances must never own an upstream at the same time, and in the end each
   upstream must have an owner.  */
START_TEST (joining_and_leaving_never_makes_two_owners)
{
  fixture *f = fixture_create ();
  fixture_join (f, 0);
  assert_never_two_owners (f, 500);
  assert_one_owner_each (f);
  fixture_join (f, 1);
  assert_never_two_owners (f, HANDOVERS_MS);
  fixture_join (f, 2);
  assert_never_two_owners (f, HANDOVERS_MS);
  assert_one_owner_each (f);
  mm_partitions_leave (f->partitions[1]);
  assert_never_two_owners (f, 2000);
  ck_assert (mm_partitions_has_left (f->partitions[1]));
  assert_one_owner_each (f);
  fixture_destroy (f);
}
END_TEST

/* Makes all instances call the store now, as a notification from the owner
   that released a partition does.  */
static void
notify_all (void *ctx, const char *group)
{
  fixture *f = ctx;
  for (int i = 0; i < INSTANCES; i++)
    if (f->partitions[i])
      mm_partitions_poll_now (f->partitions[i]);
}

/* Runs for @ms, in which instances release partitions as soon as they can.
   Returns the longest time for which an upstream had no owner.  */
static mm_time_ms
longest_unowned_ms (fixture *f, mm_time_ms ms)
{
  mm_time_ms longest_ms = 0, unowned_ms = 0;
  for (mm_time_ms t = 0; t < ms; t++)
    {
      fixture_step (f);
      unowned_ms = count_unowned (f) ? unowned_ms + 1 : 0;
      longest_ms = MAX (longest_ms, unowned_ms);
      for (int i = 0; i < INSTANCES; i++)
        if (f->partitions[i] && mm_partitions_releasing (f->partitions[i]))
          mm_partitions_release (f->partitions[i]);
    }
  return longest_ms;
}

/* An instance joins and gets half of the upstreams.  If it learns only with
   its next call, up to 300 ms later, that their owner has released them, no
   instance owns half of a data centre's upstreams meanwhile and callers are
   refused.  The previous owner must notify the new one, which then calls the
   store at once.  That takes two calls and two ticks; the test allows one call
   more.  */
START_TEST (released_partitions_are_taken_at_once)
{
  fixture *f = fixture_create ();
  fixture_join (f, 0);
  mm_partitions_events ev = { .released = notify_all, .ctx = f };
  mm_partitions_set_events (f->partitions[0], &ev);
  fixture_run (f, 500);
  fixture_join (f, 1);
  mm_partitions_set_events (f->partitions[1], &ev);
  ck_assert_int_le (longest_unowned_ms (f, 3000),
                    2 * (CALL_MS + MM_EXEC_TICK_MS) + CALL_MS);
  assert_one_owner_each (f);
  mm_partitions_leave (f->partitions[0]);
  ck_assert_int_le (longest_unowned_ms (f, 3000),
                    2 * (CALL_MS + MM_EXEC_TICK_MS) + CALL_MS);
  assert_one_owner_each (f);
  fixture_destroy (f);
}
END_TEST

/* An instance is disconnected from the store for longer than its membership
   lasts.  It continues as owner, as it must when all instances are
   disconnected.  The instance that takes over must have a higher fencing token
   for each upstream, so that the upstreams refuse the previous owner.  Once
   the instance is connected again, each upstream must have one owner.  */
START_TEST (disconnected_owner_is_fenced_by_its_successor)
{
  fixture *f = fixture_create ();
  fixture_join (f, 0);
  fixture_join (f, 1);
  fixture_run (f, 4000);
  uint64_t before[UPSTREAMS], after;
  for (int i = 0; i < UPSTREAMS; i++)
    count_owners (f, i, &before[i]);
  f->faults[0].disconnected = true;
  fixture_run (f, 4000);
  int with_two_owners = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    if (count_owners (f, i, &after) == 2)
      {
        with_two_owners++;
        ck_assert_uint_gt (after, before[i]);
      }
  ck_assert_int_gt (with_two_owners, 0);
  f->faults[0].disconnected = false;
  fixture_run (f, 6000);
  assert_one_owner_each (f);
  fixture_destroy (f);
}
END_TEST

/* The store does not answer any instance for ten seconds, and memberships
   expire.  Instances must keep their upstreams meanwhile.  */
START_TEST (store_outage_takes_no_upstream_away)
{
  fixture *f = fixture_create ();
  fixture_join (f, 0);
  fixture_join (f, 1);
  fixture_run (f, 4000);
  f->faults[0].disconnected = f->faults[1].disconnected = true;
  for (int i = 0; i < 10000; i++)
    {
      fixture_step (f);
      ck_assert_int_eq (count_unowned (f), 0);
    }
  f->faults[0].disconnected = f->faults[1].disconnected = false;
  fixture_run (f, 6000);
  assert_one_owner_each (f);
  fixture_destroy (f);
}
END_TEST

/* The store takes 374 ms for a call instead of 4 ms.  Memberships must not
   expire because of that: an instance whose membership expires loses its
   upstreams.  */
START_TEST (slow_store_keeps_memberships)
{
  fixture *f = fixture_create ();
  fixture_join (f, 0);
  fixture_join (f, 1);
  fixture_run (f, 4000);
  f->faults[0].delay_ms = f->faults[1].delay_ms = 370;
  uint64_t generation = mm_group_table_generation (f->group);
  fixture_run (f, 8000);
  ck_assert_uint_eq (mm_group_table_generation (f->group), generation);
  fixture_destroy (f);
}
END_TEST

/* The store reassigns all partitions at once, without a handover.  A previous
   owner may learn of it late; the new owner must have the higher fencing
   token.  */
START_TEST (reassigned_partitions_get_higher_tokens)
{
  fixture *f = fixture_create ();
  fixture_join (f, 0);
  fixture_join (f, 1);
  fixture_run (f, 4000);
  uint64_t before = mm_group_table_generation (f->group), fence;
  mm_group_table_reassign_all (f->group);
  fixture_run (f, 3000);
  assert_one_owner_each (f);
  int moved = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      count_owners (f, i, &fence);
      moved += fence > before;
    }
  ck_assert_int_gt (moved, 0);
  fixture_destroy (f);
}
END_TEST

/* Returns the fencing token of the first partition that an instance owns.  */
static uint64_t
first_fence (const fixture *f, int instance)
{
  uint64_t fence;
  for (uint32_t i = 0; i < PARTITIONS; i++)
    if (mm_partitions_state (f->partitions[instance], i, &fence)
        == MM_PARTITION_OWNED)
      return fence;
  ck_abort_msg ("instance %d owns no partition", instance);
}

/* Guards against state that is kept over a loss of ownership: a partition that
   another member may have held in between, after an outage or a reassignment
   without notice, must get a new fencing token, and no other partition.  */
START_TEST (partition_that_may_have_been_away_has_a_new_token)
{
  fixture *f = fixture_create ();
  fixture_join (f, 0);
  fixture_run (f, 500);
  uint64_t fence = first_fence (f, 0);
  /* Another member joins: a change that this instance sees at once.  */
  fixture_join (f, 1);
  fixture_run (f, CALL_MS);
  mm_partitions_poll_now (f->partitions[0]);
  fixture_run (f, MM_EXEC_TICK_MS + CALL_MS);
  ck_assert_uint_eq (first_fence (f, 0), fence);
  fixture_run (f, 4000);
  uint64_t generation = mm_group_table_generation (f->group);
  f->faults[0].disconnected = true;
  fixture_run (f, MM_GROUP_TTL_MS + MM_STORE_TIMEOUT_MS);
  f->faults[0].disconnected = false;
  fixture_run (f, 8000);
  ck_assert_uint_gt (first_fence (f, 0), generation);
  generation = mm_group_table_generation (f->group);
  mm_group_table_reassign_all (f->group);
  mm_group_table_reassign_all (f->group);
  fixture_run (f, 500);
  ck_assert_uint_gt (first_fence (f, 0), generation);
  fixture_destroy (f);
}
END_TEST

/* The joins of an instance are carried out, but their answers are lost, so the
   instance learns of no change.  It must stay a member of the group, and each
   upstream must have an owner in the end.  */
START_TEST (lost_answers_keep_the_membership)
{
  fixture *f = fixture_create ();
  fixture_join (f, 0);
  fixture_join (f, 1);
  fixture_run (f, 4000);
  uint64_t generation = mm_group_table_generation (f->group);
  f->faults[1].lose_answers = true;
  fixture_run (f, 4500);
  f->faults[1].lose_answers = false;
  fixture_run (f, 1000);
  ck_assert_uint_ge (mm_group_table_generation (f->group), generation);
  fixture_run (f, 5000);
  assert_one_owner_each (f);
  fixture_destroy (f);
}
END_TEST

/* Runs for @ms and checks that no two instances own a partition with the same
   fencing token.  */
static void
assert_tokens_differ (fixture *f, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t++)
    {
      fixture_step (f);
      for (uint32_t p = 0; p < PARTITIONS; p++)
        {
          uint64_t fences[INSTANCES] = { 0 };
          for (int i = 0; i < INSTANCES; i++)
            if (mm_partitions_state (f->partitions[i], p, &fences[i])
                != MM_PARTITION_OWNED)
              fences[i] = 0;
          for (int i = 0; i < INSTANCES; i++)
            for (int k = 0; k < i; k++)
              if (fences[i] && fences[i] == fences[k])
                ck_abort_msg ("partition %u: two owners with one token", p);
        }
    }
}

/* Fifty seeds of disconnections, lost answers, refused and slow calls, and
   reassignments.
   Two instances may claim an upstream meanwhile, always with different fencing
   tokens.  Once the faults have ended, each upstream must have one owner.  */
START_TEST (random_faults_end_with_one_owner_each)
{
  GRand *rnd = g_rand_new_with_seed ((guint32)_i);
  fixture *f = fixture_create ();
  for (int i = 0; i < INSTANCES; i++)
    fixture_join (f, i);
  for (int step = 0; step < 40; step++)
    {
      faults *instance_faults
          = &f->faults[g_rand_int_range (rnd, 0, INSTANCES)];
      instance_faults->disconnected = g_rand_int_range (rnd, 0, 4) == 0;
      instance_faults->lose_answers = g_rand_int_range (rnd, 0, 4) == 0;
      instance_faults->refused = g_rand_int_range (rnd, 0, 4) == 0;
      instance_faults->delay_ms = g_rand_int_range (rnd, 0, 3) ? 0 : 300;
      if (g_rand_int_range (rnd, 0, 10) == 0)
        mm_group_table_reassign_all (f->group);
      assert_tokens_differ (f, g_rand_int_range (rnd, 50, 900));
    }
  for (int i = 0; i < INSTANCES; i++)
    f->faults[i] = (faults){ 0 };
  fixture_run (f, 8000);
  assert_one_owner_each (f);
  fixture_destroy (f);
  g_rand_free (rnd);
}
END_TEST

/* ---- the upstream list ------------------------------------------------ */

static mm_upstream_info *
upstream_info (const char *name)
{
  static mm_upstream_info u;
  u = (mm_upstream_info){ .name = (char *)name,
                          .addr = "127.0.0.1:1",
                          .service = "svc",
                          .datacentre = "dc1" };
  return &u;
}

/* Entries of live upstreams expire during an outage of the store and are
   listed again within two seconds after it.  If they were dropped at once,
   each live upstream would lose the tasks that run on it.  */
START_TEST (missing_upstream_is_dropped_after_grace_time)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  mm_catalog *c = mm_catalog_create ();
  mm_catalog_put (c, upstream_info ("a"), &(mm_catalog_origin){ 0 });
  mm_catalog_set_missing (c, "a");
  for (int i = 0; i < 8000; i += 25)
    {
      now_ms += 25;
      mm_catalog_tick (c, false);
    }
  ck_assert_ptr_nonnull (mm_catalog_find (c, "a"));
  for (int i = 0; i < 2000; i += 25)
    {
      now_ms += 25;
      mm_catalog_tick (c, true);
    }
  ck_assert_ptr_nonnull (mm_catalog_find (c, "a"));
  for (int i = 0; i < 1000; i += 25)
    {
      now_ms += 25;
      mm_catalog_tick (c, true);
    }
  ck_assert_ptr_null (mm_catalog_find (c, "a"));
  mm_catalog_destroy (c);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* ---- streams ---------------------------------------------------------- */

/* A store with one stream of keys, read two to a page, whose history can be
   dropped.  */
typedef struct
{
  const char *keys[8];
  size_t n_keys;
  uint64_t end;            /* offset past the newest record */
  uint64_t first;          /* records before this offset are gone */
  uint32_t newest_calls;   /* reads of the newest record of each key */
  uint32_t tail_calls;     /* reads of the records from an offset on */
  mm_stream_answered done; /* of the call to answer, or NULL */
  void *ctx;               /* context pointer for done */
  mm_stream_result result; /* of the call to answer */
  mm_stream_item items[8]; /* the items of the result */
} key_store;

/* Adds the record of a key to the result.  @key: index in keys.  */
static void
key_item (key_store *k, size_t key)
{
  k->items[k->result.n_items++].key = (char *)k->keys[key];
}

/* Reads the newest record of the next two keys after @after.  */
static void
key_newest (void *ctx, mm_stream_kind kind, const char *after,
            mm_time_ms timeout_ms, mm_stream_answered done, void *done_ctx)
{
  key_store *k = ctx;
  k->newest_calls++;
  k->done = done;
  k->ctx = done_ctx;
  k->result = (mm_stream_result){ .ok = true, .items = k->items };
  size_t i = 0;
  while (after && i < k->n_keys && strcmp (k->keys[i], after) <= 0)
    i++;
  for (; i < k->n_keys && k->result.n_items < 2; i++)
    key_item (k, i);
  if (i < k->n_keys)
    k->result.after = k->keys[i - 1];
  k->result.next_offset = k->end;
}

/* Reads no record, or fails when the history from the offset on is gone.  */
static void
key_tail (void *ctx, const mm_tail_request *t, mm_stream_answered done,
          void *done_ctx)
{
  key_store *k = ctx;
  k->tail_calls++;
  k->done = done;
  k->ctx = done_ctx;
  k->result = (mm_stream_result){ .ok = t->from_offset >= k->first,
                                  .why = "status 410",
                                  .history_dropped = t->from_offset < k->first,
                                  .next_offset = k->end,
                                  .end_offset = k->end };
}

/* Counts what a stream has read.  */
typedef struct
{
  uint32_t items;      /* items read */
  uint32_t full_reads; /* full reads completed */
  guint keys;          /* keys in the last full read */
  mm_time_ms pause_ms; /* between reads */
} reader;

static void
on_item (void *ctx, const mm_stream_item *item)
{
  ((reader *)ctx)->items++;
}

static void
on_full_read (void *ctx, GHashTable *keys)
{
  reader *r = ctx;
  r->full_reads++;
  r->keys = g_hash_table_size (keys);
}

static mm_time_ms
reader_pause_ms (void *ctx)
{
  return ((reader *)ctx)->pause_ms;
}

/* Advances the clock by 25 ms, gives the stream its tick and answers its
   call.  */
static void
step_stream (mm_stream *s, key_store *k)
{
  now_ms += 25;
  mm_stream_tick (s);
  if (!k->done)
    return;
  mm_stream_answered done = k->done;
  k->done = NULL;
  done (&k->result, k->ctx);
}

/* The store drops its history.  The stream must be read again from the newest
   record of each key; keys that are not among these are gone, although no
   record dropped them.  */
START_TEST (dropped_history_is_read_again_from_the_newest)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  key_store k = { .keys = { "a", "b", "c" }, .n_keys = 3, .end = 7 };
  reader r = { 0 };
  mm_store_port port = { .newest = key_newest, .tail = key_tail, .ctx = &k };
  r.pause_ms = 100;
  mm_stream_events ev = { .item = on_item,
                          .loaded = on_full_read,
                          .poll_interval_ms = reader_pause_ms,
                          .ctx = &r };
  mm_stream *s = mm_stream_create (&port, MM_STREAM_UPSTREAMS, 0, &ev);
  for (int i = 0; i < 10; i++)
    step_stream (s, &k);
  ck_assert_uint_eq (r.full_reads, 1);
  ck_assert_uint_eq (r.keys, 3);
  ck_assert_uint_gt (k.tail_calls, 0);
  k.first = k.end = 50;
  k.n_keys = 2;
  for (int i = 0; i < 20; i++)
    step_stream (s, &k);
  ck_assert_uint_eq (r.full_reads, 2);
  ck_assert_uint_eq (r.keys, 2);
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* An instance that owns no upstreams does not read the upstream list.  When it
   owns some again, the list that it read before this pause may name upstreams
   that have left since.  The list must not be used before it has been read
   again, even if an answer to a read from before the pause comes late.  */
START_TEST (list_is_stale_after_a_pause_until_read_again)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  key_store k = { .keys = { "a", "b" }, .n_keys = 2, .end = 7 };
  reader r = { 0 };
  mm_store_port port = { .newest = key_newest, .tail = key_tail, .ctx = &k };
  mm_stream_events ev = { .item = on_item, .loaded = on_full_read, .ctx = &r };
  mm_stream *s = mm_stream_create (&port, MM_STREAM_UPSTREAMS, 0, &ev);
  ck_assert (!mm_stream_is_current (s));
  for (int i = 0; i < 10; i++)
    step_stream (s, &k);
  ck_assert (mm_stream_is_current (s));
  mm_stream_tick (s);
  uint32_t calls = k.tail_calls;
  for (int i = 0; i < 10; i++)
    mm_stream_pause (s);
  ck_assert (!mm_stream_is_current (s));
  step_stream (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls);
  ck_assert (!mm_stream_is_current (s));
  step_stream (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls + 1);
  ck_assert (mm_stream_is_current (s));
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* An instance gets upstreams in the same millisecond in which it paused
   reading because it had none.  The list that it reads after the pause must
   count as current; otherwise the instance starts no task until the next read,
   0.8 s later.  */
START_TEST (list_read_in_the_millisecond_of_a_pause_is_fresh)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  key_store k = { .keys = { "a", "b" }, .n_keys = 2, .end = 7 };
  reader r = { .pause_ms = 800 };
  mm_store_port port = { .newest = key_newest, .tail = key_tail, .ctx = &k };
  mm_stream_events ev = { .item = on_item,
                          .loaded = on_full_read,
                          .poll_interval_ms = reader_pause_ms,
                          .ctx = &r };
  mm_stream *s = mm_stream_create (&port, MM_STREAM_UPSTREAMS, 0, &ev);
  mm_stream_pause (s);
  mm_stream_tick (s);
  now_ms += CALL_MS;
  k.done (&k.result, k.ctx);
  ck_assert (mm_stream_is_current (s));
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* A store with one stream whose records all have one size, read over a link
   of low bandwidth.  */
typedef struct
{
  uint64_t end_offset;
  uint64_t answered;     /* records that an answer holds */
  bool down;             /* calls fail */
  uint32_t newest_calls; /* reads of the newest record of each key */
  uint32_t tail_calls;   /* reads of the records from an offset on */
  mm_time_ms timeout_ms; /* of the last call */
  mm_time_ms called_ms;  /* when the last call was made */
  size_t max_bytes;      /* limit of the last answer to a tail call */
  mm_stream_answered done;
  void *ctx;
  mm_stream_result result;
  mm_stream_item items[10];
} slow_link_store;

#define RECORD_BYTES 300

/* Reads the newest records of all ten keys.  */
static void
slow_link_newest (void *ctx, mm_stream_kind kind, const char *after,
                  mm_time_ms timeout_ms, mm_stream_answered done,
                  void *done_ctx)
{
  static char *const keys[]
      = { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j" };
  slow_link_store *k = ctx;
  k->newest_calls++;
  k->timeout_ms = timeout_ms;
  k->called_ms = now_ms;
  k->done = done;
  k->ctx = done_ctx;
  k->result = (mm_stream_result){ .ok = !k->down,
                                  .why = "no answer",
                                  .items = k->items,
                                  .n_items = k->down ? 0 : 10,
                                  .next_offset = k->end_offset };
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    k->items[i].key = keys[i];
}

/* Reads as many records as an answer of max_bytes holds.  */
static void
slow_link_tail (void *ctx, const mm_tail_request *t, mm_stream_answered done,
                void *done_ctx)
{
  slow_link_store *k = ctx;
  k->tail_calls++;
  k->timeout_ms = t->timeout_ms;
  k->max_bytes = t->max_bytes;
  k->called_ms = now_ms;
  k->done = done;
  k->ctx = done_ctx;
  uint64_t n
      = MIN (k->end_offset - t->from_offset, t->max_bytes / RECORD_BYTES);
  k->result = (mm_stream_result){ .ok = !k->down,
                                  .why = "no answer",
                                  .next_offset = t->from_offset + n,
                                  .end_offset = k->end_offset };
}

/* Advances the clock by 25 ms, gives the stream its tick and answers its
   call.  */
static void
slow_link_step (mm_stream *s, slow_link_store *k)
{
  now_ms += 25;
  mm_stream_tick (s);
  if (!k->done)
    return;
  mm_stream_answered done = k->done;
  k->done = NULL;
  done (&k->result, k->ctx);
}

/* Returns a stream over a link of 2 Mbit/s that has read all records once.  */
static mm_stream *
slow_link_stream (slow_link_store *k, reader *r, mm_time_ms pause_ms)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  mm_store_port port = { .newest = slow_link_newest,
                         .tail = slow_link_tail,
                         .ctx = k,
                         .link_mbps = 2 };
  r->pause_ms = pause_ms;
  mm_stream_events ev = { .item = on_item,
                          .loaded = on_full_read,
                          .poll_interval_ms = reader_pause_ms,
                          .ctx = r };
  mm_stream *s = mm_stream_create (&port, MM_STREAM_UPSTREAMS, 0, &ev);
  for (int i = 0; i < 100 && !k->tail_calls; i++)
    slow_link_step (s, k);
  ck_assert (mm_stream_is_current (s));
  return s;
}

/* There are more changes than one answer may hold.  With one answer per pause
   the list would fall behind further and further.  The remaining chunks must
   be read at once, and the list is not current before the last one.  */
START_TEST (changes_beyond_one_answer_are_read_without_a_pause)
{
  slow_link_store k = { .end_offset = 5 };
  reader r = { 0 };
  mm_stream *s = slow_link_stream (&k, &r, 900);
  ck_assert_uint_le (k.max_bytes * 8 / 2000, 2 * MM_STREAM_CHUNK_MS);
  mm_stream_pause (s);
  uint32_t calls = k.tail_calls;
  k.end_offset += k.max_bytes / RECORD_BYTES + 10;
  slow_link_step (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls + 1);
  ck_assert (!mm_stream_is_current (s));
  slow_link_step (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls + 2);
  ck_assert (mm_stream_is_current (s));
  slow_link_step (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls + 2);
  ck_assert_uint_eq (k.newest_calls, 1);
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* After an outage there are thousands of changes of ten upstreams to read.
   Only the newest record of each upstream matters.  The stream must read just
   the newest records, which takes far fewer bytes.  */
START_TEST (newest_records_are_read_when_that_is_less)
{
  slow_link_store k = { .end_offset = 5 };
  reader r = { 0 };
  mm_stream *s = slow_link_stream (&k, &r, 0);
  k.end_offset += 5000;
  for (int i = 0; i < 4; i++)
    slow_link_step (s, &k);
  ck_assert_uint_eq (k.newest_calls, 2);
  ck_assert_uint_eq (r.full_reads, 2);
  ck_assert (k.result.next_offset == k.end_offset);
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* A record of 1 MB takes 4 s over a link of 2 Mbit/s, and its size is not
   known before it is read.  With the same timeout at each try the record
   would never arrive, so the timeout must grow with each failed try, and must
   be the first one again after a success.  */
START_TEST (read_that_fails_is_waited_for_longer_each_time)
{
  slow_link_store k = { .end_offset = 5 };
  reader r = { 0 };
  mm_stream *s = slow_link_stream (&k, &r, 0);
  k.down = true;
  mm_time_ms first_timeout_ms = k.timeout_ms;
  for (int i = 0; i < 200; i++)
    slow_link_step (s, &k);
  ck_assert_int_ge (k.timeout_ms, 8 * MM_STORE_ANSWER_MAX_BYTES / 2000);
  k.down = false;
  for (int i = 0; i < 20; i++)
    slow_link_step (s, &k);
  ck_assert_int_eq (k.timeout_ms, first_timeout_ms);
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("membership");
  TCase *c = tcase_create ("faults");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, joining_and_leaving_never_makes_two_owners);
  tcase_add_test (c, released_partitions_are_taken_at_once);
  tcase_add_test (c, disconnected_owner_is_fenced_by_its_successor);
  tcase_add_test (c, store_outage_takes_no_upstream_away);
  tcase_add_test (c, slow_store_keeps_memberships);
  tcase_add_test (c, reassigned_partitions_get_higher_tokens);
  tcase_add_test (c, partition_that_may_have_been_away_has_a_new_token);
  tcase_add_test (c, lost_answers_keep_the_membership);
  tcase_add_loop_test (c, random_faults_end_with_one_owner_each, 0, 50);
  tcase_add_test (c, missing_upstream_is_dropped_after_grace_time);
  tcase_add_test (c, dropped_history_is_read_again_from_the_newest);
  tcase_add_test (c, list_is_stale_after_a_pause_until_read_again);
  tcase_add_test (c, list_read_in_the_millisecond_of_a_pause_is_fresh);
  tcase_add_test (c, changes_beyond_one_answer_are_read_without_a_pause);
  tcase_add_test (c, newest_records_are_read_when_that_is_less);
  tcase_add_test (c, read_that_fails_is_waited_for_longer_each_time);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
