/* mm_quota: a team's tasks against its quota in the whole data centre.

   A team's jobs are spread over the entry instances by their ids, so no
   instance alone knows what a team uses.  Each tells its peers, a few
   times a second, the teams that use a noticeable part of their quota
   here: at least 1/(4n) of it with n instances, the MM_QUOTA_MAX_ROWS
   largest.  What goes untold is thus under a quarter of a quota in all,
   and a team that uses little costs no message.  Reports expire, so an
   instance that dies frees its teams' quota by itself.

   A report is a msgpack array: [team, tasks, team, tasks, ...].  */
#include "mm_quota.h"

#include "config.h"

#include <msgpack.h>
#include <string.h>

struct mm_quota
{
  GHashTable *own;   /* team -> tasks waiting or running here */
  GHashTable *peers; /* peer -> peer_report */
  bool reported;     /* the last report named a team */
};

typedef struct
{
  GHashTable *tasks; /* team -> tasks */
  mm_time_ms at_ms;
} peer_report;

typedef struct
{
  const char *team;
  int64_t tasks;
} usage_row;

static void
free_report (gpointer data)
{
  peer_report *r = data;
  g_hash_table_destroy (r->tasks);
  g_free (r);
}

static GHashTable *
new_counts (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static int64_t
count_of (GHashTable *counts, const char *team)
{
  return (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (counts, team));
}

mm_quota *
mm_quota_create (void)
{
  mm_quota *q = g_new0 (mm_quota, 1);
  q->own = new_counts ();
  q->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_report);
  return q;
}

void
mm_quota_destroy (mm_quota *q)
{
  if (!q)
    return;
  g_hash_table_destroy (q->own);
  g_hash_table_destroy (q->peers);
  g_free (q);
}

/**
 * mm_quota_add() - a team's tasks come or go on this instance.
 * @q: the quota state.
 * @team: the team.
 * @n: tasks added, negative when they end.
 */
void
mm_quota_add (mm_quota *q, const char *team, int64_t n)
{
  int64_t v = count_of (q->own, team) + n;
  if (v <= 0)
    g_hash_table_remove (q->own, team);
  else
    g_hash_table_insert (q->own, g_strdup (team), GSIZE_TO_POINTER ((gsize)v));
}

/**
 * mm_quota_used() - a team's tasks in the data centre.
 * @q: the quota state.
 * @team: the team.
 * @now: mm_clock_now_ms().
 *
 * Return: ours, and what peers reported within MM_QUOTA_REPORT_TTL_MS.
 */
int64_t
mm_quota_used (const mm_quota *q, const char *team, mm_time_ms now)
{
  int64_t sum = count_of (q->own, team);
  GHashTableIter it;
  gpointer peer, v;
  g_hash_table_iter_init (&it, q->peers);
  while (g_hash_table_iter_next (&it, &peer, &v))
    {
      const peer_report *r = v;
      if (now - r->at_ms < MM_QUOTA_REPORT_TTL_MS)
        sum += count_of (r->tasks, team);
    }
  return sum;
}

static int
larger_first (const void *a, const void *b)
{
  int64_t x = ((const usage_row *)a)->tasks;
  int64_t y = ((const usage_row *)b)->tasks;
  return (x < y) - (x > y);
}

static int
write_cb (void *data, const char *buf, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buf, len);
  return 0;
}

/**
 * mm_quota_report() - what the peers should know.
 * @q: the quota state.
 * @n_instances: live entry instances, ourselves included.
 * @quota_of: a team's quota.
 * @ctx: context pointer for @quota_of.
 * @out: the report is appended here.
 *
 * Return: false when there is nothing to say, now and in the report
 * before (an empty report takes the last one back).
 */
bool
mm_quota_report (mm_quota *q, uint32_t n_instances,
                 int64_t (*quota_of) (const char *team, void *ctx), void *ctx,
                 GByteArray *out)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (usage_row));
  GHashTableIter it;
  gpointer team, n;
  g_hash_table_iter_init (&it, q->own);
  while (g_hash_table_iter_next (&it, &team, &n))
    {
      usage_row row = { .team = team, .tasks = (int64_t)GPOINTER_TO_SIZE (n) };
      if (row.tasks * 4 * n_instances >= quota_of (team, ctx))
        g_array_append_val (rows, row);
    }
  g_array_sort (rows, larger_first);
  uint32_t n_rows = MIN (rows->len, MM_QUOTA_MAX_ROWS);
  bool worth_it = n_rows || q->reported;
  q->reported = n_rows > 0;
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, write_cb);
  msgpack_pack_array (&pk, (size_t)2 * n_rows);
  for (uint32_t i = 0; i < n_rows; i++)
    {
      const usage_row *row = &g_array_index (rows, usage_row, i);
      size_t len = strlen (row->team);
      msgpack_pack_str (&pk, len);
      msgpack_pack_str_body (&pk, row->team, len);
      msgpack_pack_int64 (&pk, row->tasks);
    }
  g_array_free (rows, TRUE);
  return worth_it;
}

/**
 * mm_quota_take_report() - a peer's report, in place of its last one.
 * @q: the quota state.
 * @peer: its name.
 * @data: the report, untrusted.
 * @len: its length.
 * @now: mm_clock_now_ms().
 * @error: MM_ERROR_DECODE when malformed; the last report then stays.
 *
 * Return: true when taken.
 */
bool
mm_quota_take_report (mm_quota *q, const char *peer, const uint8_t *data,
                      size_t len, mm_time_ms now, GError **error)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  size_t off = 0;
  bool ok = msgpack_unpack_next (&msg, (const char *)data, len, &off)
                == MSGPACK_UNPACK_SUCCESS
            && msg.data.type == MSGPACK_OBJECT_ARRAY
            && msg.data.via.array.size % 2 == 0;
  GHashTable *tasks = new_counts ();
  for (uint32_t i = 0; ok && i < msg.data.via.array.size; i += 2)
    {
      const msgpack_object *f = &msg.data.via.array.ptr[i];
      ok = f[0].type == MSGPACK_OBJECT_STR
           && f[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER
           && f[1].via.u64 <= INT32_MAX;
      if (ok)
        g_hash_table_insert (tasks,
                             g_strndup (f[0].via.str.ptr, f[0].via.str.size),
                             GSIZE_TO_POINTER (f[1].via.u64));
    }
  msgpack_unpacked_destroy (&msg);
  if (!ok)
    {
      g_hash_table_destroy (tasks);
      g_set_error (error, MM_ERROR, MM_ERROR_DECODE, "usage report malformed");
      return false;
    }
  peer_report *r = g_new0 (peer_report, 1);
  r->tasks = tasks;
  r->at_ms = now;
  g_hash_table_insert (q->peers, g_strdup (peer), r);
  return true;
}

uint32_t
mm_quota_teams (const mm_quota *q)
{
  return g_hash_table_size (q->own);
}
