/* Ownership of upstreams through the store's groups, the upstream list
   and the streams, under faults, on a clock that the test moves.  */
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

#define PARTS 16
#define NODES 3
#define CALL_MS 4
/* Two hand-overs, one after the other, that nobody cuts short.  */
#define HANDOVERS_MS (2 * (MM_HANDOVER_MS + MM_GROUP_HEARTBEAT_MS))

static mm_time_ms now_ms;

static mm_time_ms
test_clock (void *ctx)
{
  return now_ms;
}

/* ---- a store with one group ------------------------------------------- */

typedef struct
{
  bool cut;          /* calls get no answer and are not carried out */
  bool lose_answers; /* carried out, not answered */
  mm_time_ms slow_ms;
} weather;

typedef struct
{
  mm_time_ms at_ms;   /* carried out */
  mm_time_ms done_ms; /* answered */
  bool leave;
  bool carried_out;
  bool lost;
  char member[32];
  uint64_t generation;
  mm_time_ms ttl_ms;
  mm_join_result result;
  uint32_t parts[PARTS];
  mm_join_answered done;
  void *ctx;
} store_call;

typedef struct
{
  mm_group_table *group;
  weather *weather; /* of the node that calls */
  GList **calls;
} node_store;

static void
carry_out (mm_group_table *g, store_call *c)
{
  c->carried_out = true;
  c->result.ok = true;
  if (c->leave)
    {
      mm_group_table_leave (g, c->member);
      return;
    }
  c->result.generation
      = mm_group_table_join (g, c->member, c->generation, c->ttl_ms, now_ms);
  for (uint32_t i = 0; i < PARTS; i++)
    {
      const char *holder = mm_group_table_holder (g, i);
      if (holder && strcmp (holder, c->member) == 0)
        c->parts[c->result.n_parts++] = i;
    }
  c->result.parts = c->parts;
}

static void
queue_call (node_store *s, store_call *c, const char *member,
            mm_time_ms timeout_ms, mm_join_answered done, void *ctx)
{
  g_strlcpy (c->member, member, sizeof c->member);
  mm_time_ms way = CALL_MS + s->weather->slow_ms;
  c->at_ms = s->weather->cut ? G_MAXINT64 : now_ms + way / 2;
  c->lost = s->weather->cut || s->weather->lose_answers;
  c->done_ms = now_ms + (c->lost ? timeout_ms : MIN (way, timeout_ms));
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

typedef struct
{
  mm_group_table *group;
  GList *calls;
  weather weather[NODES];
  node_store stores[NODES];
  mm_partitions *shares[NODES];
} world;

static world *
world_create (void)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  world *w = g_new0 (world, 1);
  w->group = mm_group_table_create (PARTS);
  return w;
}

static void
world_join (world *w, int i)
{
  w->stores[i] = (node_store){ .group = w->group,
                               .weather = &w->weather[i],
                               .calls = &w->calls };
  mm_store_port port
      = { .join = store_join, .leave = store_leave, .ctx = &w->stores[i] };
  char name[16];
  snprintf (name, sizeof name, "node%d", i);
  w->shares[i] = mm_partitions_create (&port, "room", name, PARTS);
}

static void
world_step (world *w)
{
  now_ms++;
  mm_group_table_step (w->group, now_ms);
  GList *next;
  for (GList *l = w->calls; l; l = next)
    {
      store_call *c = l->data;
      if (!c->carried_out && now_ms >= c->at_ms)
        carry_out (w->group, c);
      next = l->next;
      if (now_ms < c->done_ms)
        continue;
      w->calls = g_list_delete_link (w->calls, l);
      if (c->lost)
        c->result.ok = false;
      c->done (&c->result, c->ctx);
      g_free (c);
    }
  for (int i = 0; i < NODES; i++)
    if (w->shares[i] && now_ms % MM_EXEC_TICK_MS == 0)
      mm_partitions_tick (w->shares[i]);
}

static void
world_run (world *w, mm_time_ms ms)
{
  for (mm_time_ms i = 0; i < ms; i++)
    world_step (w);
}

static void
world_destroy (world *w)
{
  for (int i = 0; i < NODES; i++)
    mm_partitions_destroy (w->shares[i]);
  for (GList *l = w->calls; l; l = l->next)
    {
      store_call *c = l->data;
      c->result.ok = false;
      c->done (&c->result, c->ctx);
      g_free (c);
    }
  g_list_free (w->calls);
  mm_group_table_destroy (w->group);
  mm_clock_set_source (NULL, NULL);
  g_free (w);
}

#define UPSTREAMS 60

static void
upstream_name (char *out, size_t cap, int i)
{
  snprintf (out, cap, "upstream-%d", i);
}

/* Instances that would start tasks there now, and the highest token.  */
static int
owners_of (const world *w, int upstream, uint64_t *highest)
{
  char name[32];
  int n = 0;
  upstream_name (name, sizeof name, upstream);
  *highest = 0;
  for (int i = 0; i < NODES; i++)
    {
      uint64_t fence = 0;
      if (w->shares[i]
          && mm_partitions_upstream_state (w->shares[i], name, &fence)
                 == MM_PARTITION_OWNED)
        {
          n++;
          *highest = MAX (*highest, fence);
        }
    }
  return n;
}

static int
unowned (const world *w)
{
  int n = 0;
  uint64_t fence;
  for (int i = 0; i < UPSTREAMS; i++)
    n += owners_of (w, i, &fence) == 0;
  return n;
}

static void
assert_one_owner_each (const world *w)
{
  uint64_t fence;
  for (int i = 0; i < UPSTREAMS; i++)
    ck_assert_int_eq (owners_of (w, i, &fence), 1);
}

static void
assert_never_two_owners (world *w, mm_time_ms ms)
{
  uint64_t fence;
  for (mm_time_ms t = 0; t < ms; t++)
    {
      world_step (w);
      for (int i = 0; i < UPSTREAMS; i++)
        ck_assert_int_le (owners_of (w, i, &fence), 1);
    }
}

/* Instances join one after the other, and one leaves.  With calm calls no
   two of them ever believe to own one upstream, and none stays without.  */
START_TEST (joining_and_leaving_never_makes_two_owners)
{
  world *w = world_create ();
  world_join (w, 0);
  assert_never_two_owners (w, 500);
  assert_one_owner_each (w);
  world_join (w, 1);
  assert_never_two_owners (w, HANDOVERS_MS);
  world_join (w, 2);
  assert_never_two_owners (w, HANDOVERS_MS);
  assert_one_owner_each (w);
  mm_partitions_leave (w->shares[1]);
  assert_never_two_owners (w, 2000);
  ck_assert (mm_partitions_has_left (w->shares[1]));
  assert_one_owner_each (w);
  world_destroy (w);
}
END_TEST

static void
tell_other (void *ctx, const char *group)
{
  world *w = ctx;
  for (int i = 0; i < NODES; i++)
    if (w->shares[i])
      mm_partitions_poll_now (w->shares[i]);
}

/* Longest time for which some upstream had no owner, in @ms.  */
static mm_time_ms
longest_gap (world *w, mm_time_ms ms)
{
  mm_time_ms longest = 0, gap = 0;
  for (mm_time_ms t = 0; t < ms; t++)
    {
      world_step (w);
      gap = unowned (w) ? gap + 1 : 0;
      longest = MAX (longest, gap);
      for (int i = 0; i < NODES; i++)
        if (w->shares[i] && mm_partitions_releasing (w->shares[i]))
          mm_partitions_release (w->shares[i]);
    }
  return longest;
}

/* An instance joins and gets half of the upstreams.  Their holder lets go of
   them, and the newcomer learns of it only with its next call, up to 300 ms
   later: nobody owned half of a data centre meanwhile, and its callers were
   refused.  Told by the holder, it calls at once: two calls and two ticks.  */
START_TEST (partitions_that_are_let_go_of_are_taken_at_once)
{
  world *w = world_create ();
  world_join (w, 0);
  mm_partitions_events ev = { .handed = tell_other, .ctx = w };
  mm_partitions_set_events (w->shares[0], &ev);
  world_run (w, 500);
  world_join (w, 1);
  mm_partitions_set_events (w->shares[1], &ev);
  ck_assert_int_le (longest_gap (w, 3000),
                    2 * (CALL_MS + MM_EXEC_TICK_MS) + CALL_MS);
  assert_one_owner_each (w);
  mm_partitions_leave (w->shares[0]);
  ck_assert_int_le (longest_gap (w, 3000),
                    2 * (CALL_MS + MM_EXEC_TICK_MS) + CALL_MS);
  assert_one_owner_each (w);
  world_destroy (w);
}
END_TEST

/* An instance is cut off from the store for longer than its membership
   lasts.  It goes on as owner, which it must if all are cut off; the one
   that took over has a higher token for each upstream, so the upstreams
   themselves refuse the old one.  Back in touch, one owner is left.  */
START_TEST (cut_off_owner_is_outranked_by_its_successor)
{
  world *w = world_create ();
  world_join (w, 0);
  world_join (w, 1);
  world_run (w, 4000);
  uint64_t before[UPSTREAMS], after;
  for (int i = 0; i < UPSTREAMS; i++)
    owners_of (w, i, &before[i]);
  w->weather[0].cut = true;
  world_run (w, 4000);
  int doubled = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    if (owners_of (w, i, &after) == 2)
      {
        doubled++;
        ck_assert_uint_gt (after, before[i]);
      }
  ck_assert_int_gt (doubled, 0);
  w->weather[0].cut = false;
  world_run (w, 6000);
  assert_one_owner_each (w);
  world_destroy (w);
}
END_TEST

/* The whole store is away for ten seconds, and memberships lapse in it.
   Serving goes on: nobody gives up an upstream meanwhile.  */
START_TEST (outage_of_the_store_takes_no_upstream_away)
{
  world *w = world_create ();
  world_join (w, 0);
  world_join (w, 1);
  world_run (w, 4000);
  w->weather[0].cut = w->weather[1].cut = true;
  for (int i = 0; i < 10000; i++)
    {
      world_step (w);
      ck_assert_int_eq (unowned (w), 0);
    }
  w->weather[0].cut = w->weather[1].cut = false;
  world_run (w, 6000);
  assert_one_owner_each (w);
  world_destroy (w);
}
END_TEST

/* The store answers 60 times slower than usual.  Memberships must not
   lapse for that: each lapse takes upstreams away from their owner.  */
START_TEST (slow_store_keeps_memberships)
{
  world *w = world_create ();
  world_join (w, 0);
  world_join (w, 1);
  world_run (w, 4000);
  w->weather[0].slow_ms = w->weather[1].slow_ms = 370;
  uint64_t generation = mm_group_table_generation (w->group);
  world_run (w, 8000);
  ck_assert_uint_eq (mm_group_table_generation (w->group), generation);
  world_destroy (w);
}
END_TEST

/* The store deals all partitions anew, at once and unasked.  An owner may
   learn late of it; whoever got them has the higher token.  */
START_TEST (partitions_dealt_anew_get_higher_tokens)
{
  world *w = world_create ();
  world_join (w, 0);
  world_join (w, 1);
  world_run (w, 4000);
  uint64_t before = mm_group_table_generation (w->group), fence;
  mm_group_table_reassign_all (w->group);
  world_run (w, 3000);
  assert_one_owner_each (w);
  int moved = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      owners_of (w, i, &fence);
      moved += fence > before;
    }
  ck_assert_int_gt (moved, 0);
  world_destroy (w);
}
END_TEST

/* Joins are carried out, their answers lost: the instance learns nothing
   new, and must not count as gone either.  */
START_TEST (lost_answers_keep_the_membership)
{
  world *w = world_create ();
  world_join (w, 0);
  world_join (w, 1);
  world_run (w, 4000);
  uint64_t generation = mm_group_table_generation (w->group);
  w->weather[1].lose_answers = true;
  world_run (w, 4500);
  w->weather[1].lose_answers = false;
  world_run (w, 1000);
  ck_assert_uint_ge (mm_group_table_generation (w->group), generation);
  world_run (w, 5000);
  assert_one_owner_each (w);
  world_destroy (w);
}
END_TEST

/* Fifty seeds of cuts, losses, slowness and new deals: tokens of two
   claimants always differ, and calm ends with one owner each.  */
START_TEST (random_weather_ends_with_one_owner_each)
{
  GRand *rnd = g_rand_new_with_seed ((guint32)_i);
  world *w = world_create ();
  for (int i = 0; i < NODES; i++)
    world_join (w, i);
  for (int step = 0; step < 40; step++)
    {
      weather *x = &w->weather[g_rand_int_range (rnd, 0, NODES)];
      x->cut = g_rand_int_range (rnd, 0, 4) == 0;
      x->lose_answers = g_rand_int_range (rnd, 0, 4) == 0;
      x->slow_ms = g_rand_int_range (rnd, 0, 3) ? 0 : 300;
      if (g_rand_int_range (rnd, 0, 10) == 0)
        mm_group_table_reassign_all (w->group);
      world_run (w, g_rand_int_range (rnd, 50, 900));
    }
  for (int i = 0; i < NODES; i++)
    w->weather[i] = (weather){ 0 };
  world_run (w, 8000);
  assert_one_owner_each (w);
  world_destroy (w);
  g_rand_free (rnd);
}
END_TEST

/* ---- the upstream list ------------------------------------------------ */

static mm_upstream_info *
some_upstream (const char *name)
{
  static mm_upstream_info u;
  u = (mm_upstream_info){ .name = (char *)name,
                          .addr = "127.0.0.1:1",
                          .service = "svc",
                          .datacentre = "dc1" };
  return &u;
}

/* Entries lapse while the store is away and are back within two seconds of
   its return.  Dropped at once, each living upstream lost what ran on it.  */
START_TEST (missing_upstream_is_kept_for_a_while_of_contact)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  mm_catalog *c = mm_catalog_create ();
  mm_catalog_put (c, some_upstream ("a"), &(mm_catalog_origin){ 0 });
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

/* A stream of keys, two a page, whose history can be dropped.  */
typedef struct
{
  const char *keys[8];
  size_t n_keys;
  uint64_t end;
  uint64_t first; /* offsets before it are gone */
  uint32_t newest_calls;
  uint32_t tail_calls;
  mm_stream_answered done;
  void *ctx;
  mm_stream_result result;
  mm_stream_item items[8];
} key_store;

static void
key_item (key_store *k, size_t key)
{
  k->items[k->result.n_items++].key = (char *)k->keys[key];
}

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
  k->result.next = k->end;
}

static void
key_tail (void *ctx, const mm_tail *t, mm_stream_answered done, void *done_ctx)
{
  key_store *k = ctx;
  k->tail_calls++;
  k->done = done;
  k->ctx = done_ctx;
  k->result = (mm_stream_result){ .ok = t->from >= k->first,
                                  .why = "status 410",
                                  .history_dropped = t->from < k->first,
                                  .next = k->end,
                                  .end = k->end };
}

typedef struct
{
  uint32_t items;
  uint32_t wholes;
  guint keys;
  mm_time_ms pause_ms;
} reading;

static void
on_item (void *ctx, const mm_stream_item *item)
{
  ((reading *)ctx)->items++;
}

static void
on_whole (void *ctx, GHashTable *keys)
{
  reading *r = ctx;
  r->wholes++;
  r->keys = g_hash_table_size (keys);
}

static mm_time_ms
reading_pause_ms (void *ctx)
{
  return ((reading *)ctx)->pause_ms;
}

static void
turn (mm_stream *s, key_store *k)
{
  now_ms += 25;
  mm_stream_tick (s);
  if (!k->done)
    return;
  mm_stream_answered done = k->done;
  k->done = NULL;
  done (&k->result, k->ctx);
}

/* The store drops its history: reading goes on from the newest records,
   and what is not among them is gone, though no record said so.  */
START_TEST (dropped_history_is_read_again_from_the_newest)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  key_store k = { .keys = { "a", "b", "c" }, .n_keys = 3, .end = 7 };
  reading r = { 0 };
  mm_store_port port = { .newest = key_newest, .tail = key_tail, .ctx = &k };
  r.pause_ms = 100;
  mm_stream_events ev = {
    .item = on_item, .whole = on_whole, .pause_ms = reading_pause_ms, .ctx = &r
  };
  mm_stream *s = mm_stream_create (&port, MM_STREAM_UPSTREAMS, 0, &ev);
  for (int i = 0; i < 10; i++)
    turn (s, &k);
  ck_assert_uint_eq (r.wholes, 1);
  ck_assert_uint_eq (r.keys, 3);
  ck_assert_uint_gt (k.tail_calls, 0);
  k.first = k.end = 50;
  k.n_keys = 2;
  for (int i = 0; i < 20; i++)
    turn (s, &k);
  ck_assert_uint_eq (r.wholes, 2);
  ck_assert_uint_eq (r.keys, 2);
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* An instance that holds no upstreams reads no list, and comes to hold some
   later.  What it read before the pause may name upstreams that have left
   since: it is not to be used before it was read again, also when an answer
   from before the pause comes late.  */
START_TEST (list_that_was_not_read_for_a_while_is_stale_until_it_is)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  key_store k = { .keys = { "a", "b" }, .n_keys = 2, .end = 7 };
  reading r = { 0 };
  mm_store_port port = { .newest = key_newest, .tail = key_tail, .ctx = &k };
  mm_stream_events ev = { .item = on_item, .whole = on_whole, .ctx = &r };
  mm_stream *s = mm_stream_create (&port, MM_STREAM_UPSTREAMS, 0, &ev);
  ck_assert (!mm_stream_is_current (s));
  for (int i = 0; i < 10; i++)
    turn (s, &k);
  ck_assert (mm_stream_is_current (s));
  mm_stream_tick (s);
  uint32_t calls = k.tail_calls;
  for (int i = 0; i < 10; i++)
    mm_stream_pause (s);
  ck_assert (!mm_stream_is_current (s));
  turn (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls);
  ck_assert (!mm_stream_is_current (s));
  turn (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls + 1);
  ck_assert (mm_stream_is_current (s));
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* An instance comes to hold upstreams in the same millisecond in which it held
   none.  Its list was read after that, and must count: else it starts nothing
   before it is read again, 0.8 s later.  */
START_TEST (list_read_in_the_millisecond_of_a_pause_is_fresh)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  key_store k = { .keys = { "a", "b" }, .n_keys = 2, .end = 7 };
  reading r = { .pause_ms = 800 };
  mm_store_port port = { .newest = key_newest, .tail = key_tail, .ctx = &k };
  mm_stream_events ev = {
    .item = on_item, .whole = on_whole, .pause_ms = reading_pause_ms, .ctx = &r
  };
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

/* A stream whose changes are all of one size, read over a thin link.  */
typedef struct
{
  uint64_t end;
  uint64_t answered; /* records that an answer holds */
  bool down;
  uint32_t newest_calls;
  uint32_t tail_calls;
  mm_time_ms timeout_ms; /* of the last call */
  mm_time_ms at_ms;      /* and when it was made */
  size_t max_bytes;
  mm_stream_answered done;
  void *ctx;
  mm_stream_result result;
  mm_stream_item items[10];
} thin_store;

#define THIN_RECORD_BYTES 300

static void
thin_newest (void *ctx, mm_stream_kind kind, const char *after,
             mm_time_ms timeout_ms, mm_stream_answered done, void *done_ctx)
{
  static char *const keys[]
      = { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j" };
  thin_store *k = ctx;
  k->newest_calls++;
  k->timeout_ms = timeout_ms;
  k->at_ms = now_ms;
  k->done = done;
  k->ctx = done_ctx;
  k->result = (mm_stream_result){ .ok = !k->down,
                                  .why = "no answer",
                                  .items = k->items,
                                  .n_items = k->down ? 0 : 10,
                                  .next = k->end };
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    k->items[i].key = keys[i];
}

static void
thin_tail (void *ctx, const mm_tail *t, mm_stream_answered done,
           void *done_ctx)
{
  thin_store *k = ctx;
  k->tail_calls++;
  k->timeout_ms = t->timeout_ms;
  k->max_bytes = t->max_bytes;
  k->at_ms = now_ms;
  k->done = done;
  k->ctx = done_ctx;
  uint64_t n = MIN (k->end - t->from, t->max_bytes / THIN_RECORD_BYTES);
  k->result = (mm_stream_result){
    .ok = !k->down, .why = "no answer", .next = t->from + n, .end = k->end
  };
}

static void
thin_turn (mm_stream *s, thin_store *k)
{
  now_ms += 25;
  mm_stream_tick (s);
  if (!k->done)
    return;
  mm_stream_answered done = k->done;
  k->done = NULL;
  done (&k->result, k->ctx);
}

static mm_stream *
thin_stream (thin_store *k, reading *r, mm_time_ms pause_ms)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  mm_store_port port
      = { .newest = thin_newest, .tail = thin_tail, .ctx = k, .link_mbps = 2 };
  r->pause_ms = pause_ms;
  mm_stream_events ev = {
    .item = on_item, .whole = on_whole, .pause_ms = reading_pause_ms, .ctx = r
  };
  mm_stream *s = mm_stream_create (&port, MM_STREAM_UPSTREAMS, 0, &ev);
  for (int i = 0; i < 100 && !k->tail_calls; i++)
    thin_turn (s, k);
  ck_assert (mm_stream_is_current (s));
  return s;
}

/* More changes have gathered than one answer may hold.  Read one answer a
   pause, the list would fall behind further and further; the pieces that are
   left are read at once, and until the last one nothing counts as fresh.  */
START_TEST (changes_beyond_one_answer_are_read_without_a_pause)
{
  thin_store k = { .end = 5 };
  reading r = { 0 };
  mm_stream *s = thin_stream (&k, &r, 900);
  ck_assert_uint_le (k.max_bytes * 8 / 2000, 2 * MM_STREAM_CHUNK_MS);
  mm_stream_pause (s);
  uint32_t calls = k.tail_calls;
  k.end += k.max_bytes / THIN_RECORD_BYTES + 10;
  thin_turn (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls + 1);
  ck_assert (!mm_stream_is_current (s));
  thin_turn (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls + 2);
  ck_assert (mm_stream_is_current (s));
  thin_turn (s, &k);
  ck_assert_uint_eq (k.tail_calls, calls + 2);
  ck_assert_uint_eq (k.newest_calls, 1);
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* After an outage thousands of changes of ten upstreams wait to be read.  The
   newest record of each is all that counts, and far less to read.  */
START_TEST (newest_records_are_read_when_that_is_less)
{
  thin_store k = { .end = 5 };
  reading r = { 0 };
  mm_stream *s = thin_stream (&k, &r, 0);
  k.end += 5000;
  for (int i = 0; i < 4; i++)
    thin_turn (s, &k);
  ck_assert_uint_eq (k.newest_calls, 2);
  ck_assert_uint_eq (r.wholes, 2);
  ck_assert (k.result.next == k.end);
  mm_stream_destroy (s);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* A record of 1 MB takes 4 s over a link of 2 Mbit/s, and nobody knows its
   size before it is read: with the same timeout at each try it would never
   arrive.  */
START_TEST (read_that_fails_is_waited_for_longer_each_time)
{
  thin_store k = { .end = 5 };
  reading r = { 0 };
  mm_stream *s = thin_stream (&k, &r, 0);
  k.down = true;
  mm_time_ms before_ms = k.timeout_ms;
  for (int i = 0; i < 200; i++)
    thin_turn (s, &k);
  ck_assert_int_ge (k.timeout_ms, 8 * MM_STORE_ANSWER_MAX_BYTES / 2000);
  k.down = false;
  for (int i = 0; i < 20; i++)
    thin_turn (s, &k);
  ck_assert_int_eq (k.timeout_ms, before_ms);
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
  tcase_add_test (c, partitions_that_are_let_go_of_are_taken_at_once);
  tcase_add_test (c, cut_off_owner_is_outranked_by_its_successor);
  tcase_add_test (c, outage_of_the_store_takes_no_upstream_away);
  tcase_add_test (c, slow_store_keeps_memberships);
  tcase_add_test (c, partitions_dealt_anew_get_higher_tokens);
  tcase_add_test (c, lost_answers_keep_the_membership);
  tcase_add_loop_test (c, random_weather_ends_with_one_owner_each, 0, 50);
  tcase_add_test (c, missing_upstream_is_kept_for_a_while_of_contact);
  tcase_add_test (c, dropped_history_is_read_again_from_the_newest);
  tcase_add_test (c, list_that_was_not_read_for_a_while_is_stale_until_it_is);
  tcase_add_test (c, list_read_in_the_millisecond_of_a_pause_is_fresh);
  tcase_add_test (c, changes_beyond_one_answer_are_read_without_a_pause);
  tcase_add_test (c, newest_records_are_read_when_that_is_less);
  tcase_add_test (c, read_that_fails_is_waited_for_longer_each_time);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
