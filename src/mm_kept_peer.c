/* mm_kept_peer: answers requests of other instances about kept jobs, and
   counts the pending jobs of a queue at all homes.  */
#include "mm_kept_priv.h"

#include "config.h"
#include "mm_event.h"

#include <string.h>

/* ---- counts ----------------------------------------------------------- */

/* Counts the accepted jobs of a queue that have not started, at the homes of
   this instance.  */
static uint32_t
pending_here (const mm_kept *k, const char *queue)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    if (k->home[i])
      n += mm_home_pending (k->home[i], queue);
  return n;
}

/* A count of pending jobs, added up from the answers of all homes.  */
typedef struct
{
  mm_kept *kept;
  mm_kept_answer total; /* the answer to the caller, as far as known */
  uint32_t outstanding; /* instances that have not answered yet, plus one while
                           requests are being sent */
  mm_kept_answered answered;
  void *ctx;
} pending_count;

/* Answers the caller and frees the count.  */
static void
finish_count (pending_count *c)
{
  c->answered (c->ctx, &c->total);
  mm_kept_unref (c->kept);
  g_free (c);
}

/* Adds the count of one instance.  Without it the total is not known, and the
   answer is BUSY.  */
static void
on_count_answered (void *ctx, bool ok, const void *data, size_t len)
{
  pending_count *c = ctx;
  mm_kept_answer a = { 0 };
  if (ok && mm_kept_answer_read (data, len, &a) && a.status == MM_KEPT_OK)
    c->total.pending += a.pending;
  else
    c->total.status = MM_KEPT_BUSY;
  if (--c->outstanding == 0)
    finish_count (c);
}

/* Names of the other instances at which there are homes, each once.  Free the
   list, not the names.  */
static GList *
other_homes (const mm_kept *k)
{
  GList *names = NULL;
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    {
      const char *home
          = k->home[i] ? NULL : mm_home_directory_lookup (k->directory, i);
      if (home && strcmp (home, k->deps.member) != 0
          && !g_list_find_custom (names, home, (GCompareFunc)strcmp))
        names = g_list_prepend (names, (gpointer)home);
    }
  return names;
}

void
mm_kept_pending (mm_kept *k, const char *queue, mm_kept_answered answered,
                 void *ctx)
{
  mm_home_directory_set_used (k->directory);
  pending_count *c = g_new0 (pending_count, 1);
  c->kept = k;
  c->answered = answered;
  c->ctx = ctx;
  c->total.pending = pending_here (k, queue);
  c->outstanding = 1; /* requests may be answered before all are sent */
  k->refs++;
  GList *homes = other_homes (k);
  for (GList *l = homes; l; l = l->next)
    {
      c->outstanding++;
      mm_mesh_request (k->deps.mesh, l->data, MM_KEPT_REQUEST_PENDING, queue,
                       strlen (queue), MM_KEPT_REQUEST_TIMEOUT_MS,
                       on_count_answered, c);
    }
  g_list_free (homes);
  if (--c->outstanding == 0)
    finish_count (c);
}

/* ---- requests of other instances -------------------------------------- */

/* Sends an answer to a peer; @ctx: its mm_mesh_inbound_request.  */
static void
answer_peer (void *ctx, const mm_kept_answer *a)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_kept_answer_pack (&b, a);
  mm_mesh_answer (ctx, b.data, b.size);
  msgpack_sbuffer_destroy (&b);
}

/* Submits a job that a peer has forwarded.  Answers MOVING when its home is
   not at this instance, BUSY when the record is invalid.  */
static void
handle_submit (mm_kept *k, const void *data, size_t len,
               mm_mesh_inbound_request *request)
{
  GError *error = NULL;
  mm_kept_answer rejection = { .status = MM_KEPT_MOVING };
  mm_job_record *rec = mm_job_record_unpack (data, len, &error);
  mm_home *h = rec && rec->submission
                   ? mm_kept_home_of (k, rec->submission->id)
                   : NULL;
  if (h)
    {
      mm_home_submit (h, rec, answer_peer, request);
      return;
    }
  if (error)
    {
      g_warning ("kept: invalid job record from another instance: %s",
                 error->message);
      rejection.status = MM_KEPT_BUSY;
    }
  g_clear_error (&error);
  mm_job_record_destroy (rec);
  answer_peer (request, &rejection);
}

/* Cancels a job or answers with its state.  Answers MOVING when its home is
   not at this instance.  */
static void
handle_job (mm_kept *k, mm_kept_verb verb, const char *job_id,
            mm_mesh_inbound_request *request)
{
  mm_kept_answer a = { .status = MM_KEPT_MOVING };
  mm_home *h = mm_kept_home_of (k, job_id);
  if (h && verb == MM_KEPT_REQUEST_CANCEL)
    {
      mm_home_cancel (h, job_id, answer_peer, request);
      return;
    }
  if (h)
    mm_home_confirm_state (h, job_id, answer_peer, request);
  else
    answer_peer (request, &a);
}

static void
handle_pending (mm_kept *k, const char *queue,
                mm_mesh_inbound_request *request)
{
  mm_kept_answer a
      = { .status = MM_KEPT_OK, .pending = pending_here (k, queue) };
  answer_peer (request, &a);
}

/* Answers what is known here of the tasks in @data.  An invalid set of tasks
   yields an empty result, which clears no upstream.  */
static void
handle_search (mm_kept *k, const void *data, size_t len,
               mm_mesh_inbound_request *request)
{
  mm_search_result result = mm_search_result_init ();
  GHashTable *tasks = mm_task_set_read (data, len);
  if (tasks)
    mm_owner_search (k->deps.owner, tasks, &result);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_search_result_pack (&b, &result);
  mm_mesh_answer (request, b.data, b.size);
  msgpack_sbuffer_destroy (&b);
  mm_search_result_clear (&result);
  if (tasks)
    g_hash_table_destroy (tasks);
}

/* Answers whether the home here needs the ends of a job, and which of the
   tasks that the peer names are stored as done.  */
static void
handle_foreign (mm_kept *k, const void *data, size_t len,
                mm_mesh_inbound_request *request)
{
  char job_id[MM_JOB_ID_MAX + 1];
  mm_kept_answer a;
  GHashTable *tasks = mm_foreign_request_read (data, len, job_id);
  if (!tasks)
    tasks = mm_task_set_new ();
  mm_kept_answer_foreign (k, job_id, &a);
  mm_kept_keep_stored (k, &a, tasks);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_foreign_answer_pack (&b, &a, tasks);
  mm_mesh_answer (request, b.data, b.size);
  msgpack_sbuffer_destroy (&b);
  g_hash_table_destroy (tasks);
}

/* Acknowledges one stored end; @ctx: the mm_owner.  */
static void
ack_end (void *ctx, const mm_task_id *task, uint32_t run_hash)
{
  mm_owner_acknowledge_end (ctx, task, run_hash);
}

/* Answers a request of another instance.  @text is @data as a string, for the
   verbs whose data is a job id or the name of a queue.  */
static void
handle_request (mm_kept *k, uint32_t verb, const char *text, const void *data,
                size_t len, mm_mesh_inbound_request *request)
{
  switch (verb)
    {
    case MM_KEPT_REQUEST_SUBMIT:
      handle_submit (k, data, len, request);
      break;
    case MM_KEPT_REQUEST_STATE:
    case MM_KEPT_REQUEST_CANCEL:
      handle_job (k, verb, text, request);
      break;
    case MM_KEPT_REQUEST_PENDING:
      handle_pending (k, text, request);
      break;
    case MM_KEPT_REQUEST_FOREIGN:
      handle_foreign (k, data, len, request);
      break;
    case MM_KEPT_REQUEST_SEARCH:
      handle_search (k, data, len, request);
      break;
    default:
      {
        mm_kept_answer busy = { .status = MM_KEPT_BUSY };
        answer_peer (request, &busy);
      }
    }
}

void
mm_kept_on_peer_request (void *ctx, uint32_t verb, const void *data,
                         size_t len, mm_mesh_inbound_request *request)
{
  mm_kept *k = ctx;
  if (verb == MM_KEPT_NOTIFY_ACKS)
    {
      mm_end_acks_read (data, len, ack_end, k->deps.owner);
      return;
    }
  char *text = g_strndup (data, len);
  if (verb == MM_KEPT_NOTIFY_ENDED)
    mm_owner_forget_job (k->deps.owner, text);
  if (request)
    handle_request (k, verb, text, data, len, request);
  g_free (text);
}
