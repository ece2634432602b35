/* mm_task_search: searches for tasks in doubt at all owners.  One round of
   requests is under way at a time, and no result is carried over to the
   next.  */
#include "mm_task_search.h"

#include "config.h"
#include "mm_event.h"
#include "mm_kept_wire.h"

struct mm_task_search
{
  int refs;    /* one of the creator, one per outstanding request */
  bool closed; /* mm_task_search_destroy() was called */
  mm_mesh *mesh;
  const mm_owner *owner;
  const mm_catalog *catalog;
  mm_task_search_events ev;
  GHashTable *tasks;           /* the tasks of this round, NULL: no round */
  GHashTable *clear_upstreams; /* uint64_t mm_upstream_hash(): none of the
                                  tasks runs there */
  uint32_t n_present; /* tasks found waiting or running in this round */
  bool complete; /* the catalog names every upstream that may run a task */
  uint32_t outstanding; /* requests not answered yet, plus one while they are
                           being sent */
  mm_time_ms waits_since_ms; /* end of the first of the rounds in a row that
                                found a task or were incomplete, 0: none */
  mm_time_ms waited_ms;      /* end of the last of them */
  mm_time_ms logged_ms;      /* when that was last logged */
};

/* A request to one peer.  */
typedef struct
{
  mm_task_search *search;
  char *peer; /* member name of the instance */
} search_request;

mm_task_search *
mm_task_search_create (mm_mesh *mesh, const mm_owner *owner,
                       const mm_catalog *catalog,
                       const mm_task_search_events *ev)
{
  mm_task_search *s = g_new0 (mm_task_search, 1);
  s->refs = 1;
  s->mesh = mesh;
  s->owner = owner;
  s->catalog = catalog;
  s->ev = *ev;
  s->clear_upstreams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return s;
}

static void
search_unref (mm_task_search *s)
{
  if (--s->refs > 0)
    return;
  g_hash_table_destroy (s->clear_upstreams);
  if (s->tasks)
    g_hash_table_destroy (s->tasks);
  g_free (s);
}

void
mm_task_search_destroy (mm_task_search *s)
{
  if (!s)
    return;
  s->closed = true;
  search_unref (s);
}

bool
mm_task_search_busy (const mm_task_search *s)
{
  return s->tasks != NULL;
}

/* Adds what one owner knows to the round, and reports the ends at once.
   @owner: the peer that answered, NULL for this instance.  */
static void
add_result (mm_task_search *s, const mm_search_result *result,
            const char *owner)
{
  s->n_present += result->present;
  for (guint i = 0; i < result->clear_upstreams->len; i++)
    g_hash_table_add (
        s->clear_upstreams,
        g_memdup2 (&g_array_index (result->clear_upstreams, uint64_t, i),
                   sizeof (uint64_t)));
  for (guint i = 0; i < result->ends->len; i++)
    s->ev.end (s->ev.ctx, &g_array_index (result->ends, mm_found_end, i),
               owner);
}

/* Returns an upstream of the catalog for which no owner has answered that none
   of the tasks runs there; NULL: there is none.  */
static const char *
find_unclear_upstream (const mm_task_search *s)
{
  const char *unclear = NULL;
  GList *list = mm_catalog_all (s->catalog);
  for (GList *l = list; l && !unclear; l = l->next)
    {
      const char *name = ((const mm_upstream_info *)l->data)->name;
      uint64_t hash = mm_upstream_hash (name);
      if (!g_hash_table_contains (s->clear_upstreams, &hash))
        unclear = name;
    }
  g_list_free (list);
  return unclear;
}

/* Logs from time to time what keeps rounds from showing that no run is left.
 */
static void
log_waiting (mm_task_search *s, guint n_tasks, const char *unclear)
{
  mm_time_ms now = mm_clock_now_ms ();
  /* After a longer pause, no task was in doubt in between.  */
  if (!s->waits_since_ms || now - s->waited_ms > MM_KEPT_SEARCH_LOG_MS)
    s->waits_since_ms = s->logged_ms = now;
  s->waited_ms = now;
  if (now - s->logged_ms < MM_KEPT_SEARCH_LOG_MS)
    return;
  s->logged_ms = now;
  mm_log_event (MM_EV_KEPT_SEARCH_WAITS, MM_INT (n_tasks),
                MM_INT (s->n_present), MM_TEXT (unclear ? unclear : ""),
                MM_INT (s->complete), MM_INT (now - s->waits_since_ms));
}

/* Reports that no run is left, if the answers of this round show it.  */
static void
end_round (mm_task_search *s)
{
  GHashTable *tasks = g_steal_pointer (&s->tasks);
  const char *unclear = find_unclear_upstream (s);
  if (s->complete && s->n_present == 0 && !unclear)
    {
      s->waits_since_ms = 0;
      s->ev.none_left (s->ev.ctx, tasks);
    }
  else
    log_waiting (s, g_hash_table_size (tasks), unclear);
  g_hash_table_destroy (tasks);
}

static void
on_peer_answered (void *ctx, bool ok, const void *data, size_t len)
{
  search_request *req = ctx;
  mm_task_search *s = req->search;
  mm_search_result result = mm_search_result_init ();
  /* Without the answer of a peer a round can still succeed: it does if other
     instances own the peer's upstreams now and answer for them.  Otherwise
     these upstreams are missing from clear_upstreams, and the tasks stay in
     doubt.  */
  if (!s->closed && ok && mm_search_result_read (data, len, &result))
    add_result (s, &result, req->peer);
  mm_search_result_clear (&result);
  s->outstanding--;
  if (!s->closed && s->outstanding == 0)
    end_round (s);
  g_free (req->peer);
  g_free (req);
  search_unref (s);
}

/* Sends the tasks of the round to all peers.  */
static void
send_requests (mm_task_search *s)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_task_set_pack (&b, s->tasks);
  GList *peers = mm_mesh_peers (s->mesh);
  for (GList *l = peers; l; l = l->next)
    {
      search_request *req = g_new0 (search_request, 1);
      req->search = s;
      req->peer = g_strdup (l->data);
      s->outstanding++;
      s->refs++;
      mm_mesh_request (s->mesh, req->peer, MM_KEPT_REQUEST_SEARCH, b.data,
                       b.size, MM_KEPT_REQUEST_TIMEOUT_MS, on_peer_answered,
                       req);
    }
  g_list_free (peers);
  msgpack_sbuffer_destroy (&b);
}

void
mm_task_search_start (mm_task_search *s, GHashTable *tasks, bool list_fresh)
{
  s->tasks = tasks;
  s->n_present = 0;
  s->complete = list_fresh;
  g_hash_table_remove_all (s->clear_upstreams);
  /* Owners need not be neighbours, so links to all known instances are needed.
     A link that opens during this round serves the next one.  */
  mm_mesh_require_link (s->mesh, NULL);
  s->outstanding = 1;
  mm_search_result local = mm_search_result_init ();
  mm_owner_search (s->owner, s->tasks, &local);
  add_result (s, &local, NULL);
  mm_search_result_clear (&local);
  send_requests (s);
  if (--s->outstanding == 0)
    end_round (s);
}
