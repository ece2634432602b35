/* mm_quota: counts a team's tasks in the whole data centre.

   A team's jobs are spread over the entry instances by their ids, so no
   instance alone knows how many tasks a team has.  Every MM_QUOTA_REPORT_MS,
   each instance sends its peers a usage report.  It lists the teams whose
   tasks on that instance are at least 1/(4n) of their quota, with n instances,
   and of these teams only the MM_QUOTA_REPORT_MAX_TEAMS with the most tasks.
   Over all n instances, a team's tasks below that limit are less than a
   quarter of its quota, and a team with few tasks costs no message.  Reports
   expire, so that the tasks of an instance that has died no longer count.

   A report is a msgpack array: [team, tasks, team, tasks, ...].  */
#include "mm_quota.h"

#include "config.h"

#include <msgpack.h>
#include <string.h>

struct mm_quota
{
  GHashTable *local; /* team -> tasks waiting or running here */
  GHashTable *peers; /* peer -> peer_report, the last one */
  bool reported;     /* the last report that was built was not empty */
};

/* The last usage report of a peer.  */
typedef struct
{
  GHashTable *tasks;      /* team -> tasks waiting or running at the peer */
  mm_time_ms received_ms; /* when the report arrived */
} peer_report;

/* A team in the report that is being built.  */
typedef struct
{
  const char *team;
  int64_t tasks;
} usage_row;

static void
report_free (gpointer data)
{
  peer_report *r = data;
  g_hash_table_destroy (r->tasks);
  g_free (r);
}

/* Returns a new table: team -> number of tasks, stored in the pointer.  */
static GHashTable *
counts_create (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Returns a team's number of tasks, 0 when the table does not list it.  */
static int64_t
count_of (GHashTable *counts, const char *team)
{
  return (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (counts, team));
}

mm_quota *
mm_quota_create (void)
{
  mm_quota *q = g_new0 (mm_quota, 1);
  q->local = counts_create ();
  q->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
  return q;
}

void
mm_quota_destroy (mm_quota *q)
{
  if (!q)
    return;
  g_hash_table_destroy (q->local);
  g_hash_table_destroy (q->peers);
  g_free (q);
}

/**
 * mm_quota_add() - change the count of a team's tasks on this instance.
 * @q: the quota state.
 * @team: the team.
 * @n: tasks added, negative when tasks have ended.
 */
void
mm_quota_add (mm_quota *q, const char *team, int64_t n)
{
  int64_t v = count_of (q->local, team) + n;
  if (v <= 0)
    g_hash_table_remove (q->local, team);
  else
    g_hash_table_insert (q->local, g_strdup (team),
                         GSIZE_TO_POINTER ((gsize)v));
}

/**
 * mm_quota_used() - count a team's tasks in the data centre.
 * @q: the quota state.
 * @team: the team.
 * @now: mm_clock_now_ms().
 *
 * Return: the tasks on this instance and those that peers reported within
 * the last MM_QUOTA_REPORT_TTL_MS.
 */
int64_t
mm_quota_used (const mm_quota *q, const char *team, mm_time_ms now)
{
  int64_t sum = count_of (q->local, team);
  GHashTableIter it;
  gpointer peer, v;
  g_hash_table_iter_init (&it, q->peers);
  while (g_hash_table_iter_next (&it, &peer, &v))
    {
      const peer_report *r = v;
      if (now - r->received_ms < MM_QUOTA_REPORT_TTL_MS)
        sum += count_of (r->tasks, team);
    }
  return sum;
}

static int
compare_tasks_descending (const void *a, const void *b)
{
  int64_t x = ((const usage_row *)a)->tasks;
  int64_t y = ((const usage_row *)b)->tasks;
  return (x < y) - (x > y);
}

/* Appends packed bytes to @data, a GByteArray.  */
static int
write_cb (void *data, const char *buf, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buf, len);
  return 0;
}

/**
 * mm_quota_report() - build the usage report for the peers.
 * @q: the quota state.
 * @n_instances: number of live entry instances, this one included.
 * @quota_of: returns a team's quota in the data centre, in tasks.
 * @ctx: context pointer for @quota_of.
 * @out: the report is appended here.
 *
 * The report lists the teams that have at least 1/(4 * @n_instances) of their
 * quota as tasks on this instance, and of these only the
 * MM_QUOTA_REPORT_MAX_TEAMS with the most tasks.
 *
 * Return: whether the report must be sent.  An empty report is sent only
 * after one that listed teams, to replace it at the peers.
 */
bool
mm_quota_report (mm_quota *q, uint32_t n_instances,
                 int64_t (*quota_of) (const char *team, void *ctx), void *ctx,
                 GByteArray *out)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (usage_row));
  GHashTableIter it;
  gpointer team, n;
  g_hash_table_iter_init (&it, q->local);
  while (g_hash_table_iter_next (&it, &team, &n))
    {
      usage_row row = { .team = team, .tasks = (int64_t)GPOINTER_TO_SIZE (n) };
      if (row.tasks * 4 * n_instances >= quota_of (team, ctx))
        g_array_append_val (rows, row);
    }
  g_array_sort (rows, compare_tasks_descending);
  uint32_t n_rows = MIN (rows->len, MM_QUOTA_REPORT_MAX_TEAMS);
  bool must_send = n_rows || q->reported;
  q->reported = n_rows > 0;
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, write_cb);
  msgpack_pack_array (&packer, (size_t)2 * n_rows);
  for (uint32_t i = 0; i < n_rows; i++)
    {
      const usage_row *row = &g_array_index (rows, usage_row, i);
      size_t len = strlen (row->team);
      msgpack_pack_str (&packer, len);
      msgpack_pack_str_body (&packer, row->team, len);
      msgpack_pack_int64 (&packer, row->tasks);
    }
  g_array_free (rows, TRUE);
  return must_send;
}

/**
 * mm_quota_apply_report() - replace a peer's last usage report by a new one.
 * @q: the quota state.
 * @peer: the peer's name.
 * @data: the encoded report, untrusted.
 * @len: length of @data in bytes.
 * @now: mm_clock_now_ms().
 * @error: MM_ERROR_DECODE when @data is malformed; the last report is then
 *         kept.
 *
 * Return: true when the report was stored.
 */
bool
mm_quota_apply_report (mm_quota *q, const char *peer, const uint8_t *data,
                       size_t len, mm_time_ms now, GError **error)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  size_t off = 0;
  bool ok = msgpack_unpack_next (&msg, (const char *)data, len, &off)
                == MSGPACK_UNPACK_SUCCESS
            && msg.data.type == MSGPACK_OBJECT_ARRAY
            && msg.data.via.array.size % 2 == 0;
  GHashTable *tasks = counts_create ();
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
  r->received_ms = now;
  g_hash_table_insert (q->peers, g_strdup (peer), r);
  return true;
}

uint32_t
mm_quota_team_count (const mm_quota *q)
{
  return g_hash_table_size (q->local);
}
