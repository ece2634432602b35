/* mm_kept_request: forwards callers' requests about kept jobs to the homes.

   Homes move when instances join and leave.  A request whose home is not
   known, not connected, or has moved waits for up to
   MM_KEPT_FIND_HOME_TIMEOUT_MS while the directory polls the store.  A caller
   whose request is refused may retry only a second later.  */
#include "mm_kept_priv.h"

#include "config.h"
#include "mm_event.h"

#include <string.h>

struct mm_kept_request
{
  mm_kept *kept;
  char *job_id;
  uint32_t partition; /* of the job */
  mm_kept_verb verb;  /* REQUEST_SUBMIT, REQUEST_STATE or REQUEST_CANCEL */
  GBytes *record;     /* MM_KEPT_REQUEST_SUBMIT: the packed job, else NULL */
  mm_kept_answered answered; /* the caller's callback */
  void *ctx;                 /* for @answered */
  mm_time_ms expires_ms;     /* time by which the home must be found */
  bool in_doubt;             /* a home may have executed the request already */
  uint64_t bytes;            /* taken from the budget */
};

static void try_request (mm_kept_request *r);

static void
request_free (mm_kept_request *r)
{
  mm_budget_give (r->kept->deps.budget, MM_BUDGET_JOBS, r->bytes);
  mm_kept_unref (r->kept);
  g_clear_pointer (&r->record, g_bytes_unref);
  g_free (r->job_id);
  g_free (r);
}

/* Answers the caller and frees the request.  */
static void
answer (mm_kept_request *r, const mm_kept_answer *a)
{
  r->answered (r->ctx, a);
  request_free (r);
}

/* Answers MM_KEPT_BUSY, or MM_KEPT_IN_DOUBT when a home may have executed the
   request.  @why is for the log.  */
static void
refuse (mm_kept_request *r, const char *why)
{
  mm_kept_answer a
      = { .status = r->in_doubt ? MM_KEPT_IN_DOUBT : MM_KEPT_BUSY };
  mm_log_event (r->in_doubt ? MM_EV_KEPT_UNSURE : MM_EV_KEPT_REFUSED,
                MM_TEXT (r->job_id), MM_INT (r->partition), MM_TEXT (why));
  answer (r, &a);
}

/* Keeps the request for the next tick, which tries it again.  Refuses it when
   its time has expired, and at once while the store cannot be asked for the
   home.  */
static void
wait_for_home (mm_kept_request *r, const char *why)
{
  mm_kept *k = r->kept;
  if (k->closed || mm_clock_now_ms () >= r->expires_ms
      || mm_home_directory_failing (k->directory))
    {
      refuse (r, why);
      return;
    }
  mm_home_directory_poll_soon (k->directory);
  k->waiting = g_list_prepend (k->waiting, r);
}

/* Handles the answer of the home, at this instance or a peer.  When an earlier
   try may have been executed, "nothing was done" is not true of the request as
   a whole: BUSY then becomes IN_DOUBT.  */
static void
on_home_answered (void *ctx, const mm_kept_answer *a)
{
  mm_kept_request *r = ctx;
  mm_kept_answer final = *a;
  r->in_doubt = r->in_doubt || a->status == MM_KEPT_IN_DOUBT;
  if (a->status == MM_KEPT_MOVING)
    wait_for_home (r, "its home is moving");
  else if (a->status == MM_KEPT_IN_DOUBT)
    wait_for_home (r, "its home did not confirm it");
  else
    {
      if (a->status == MM_KEPT_BUSY && r->in_doubt)
        final.status = MM_KEPT_IN_DOUBT;
      answer (r, &final);
    }
}

/* Handles the answer of a home at a peer; @ok false: there was none.  The home
   may have executed a request without an answer.  A request for the state has
   no effect and is never in doubt.  */
static void
on_peer_answered (void *ctx, bool ok, const void *data, size_t len)
{
  mm_kept_request *r = ctx;
  mm_kept_answer a = { 0 };
  if (ok && mm_kept_answer_read (data, len, &a))
    {
      on_home_answered (r, &a);
      return;
    }
  r->in_doubt = r->in_doubt || r->verb != MM_KEPT_REQUEST_STATE;
  wait_for_home (r, "its home did not answer");
}

/* Submits the job of the request to its home @h at this instance.  */
static void
submit_here (mm_home *h, mm_kept_request *r)
{
  gsize len;
  const void *data = g_bytes_get_data (r->record, &len);
  GError *error = NULL;
  mm_job_record *rec = mm_job_record_unpack (data, len, &error);
  if (rec)
    {
      mm_home_submit (h, rec, on_home_answered, r);
      return;
    }
  g_warning ("kept job %s: %s", r->job_id, error->message);
  g_error_free (error);
  refuse (r, "its record could not be read again");
}

/* Executes the request at its home @h, which is at this instance.  */
static void
process_here (mm_home *h, mm_kept_request *r)
{
  switch (r->verb)
    {
    case MM_KEPT_REQUEST_SUBMIT:
      submit_here (h, r);
      break;
    case MM_KEPT_REQUEST_CANCEL:
      mm_home_cancel (h, r->job_id, on_home_answered, r);
      break;
    default:
      mm_home_confirm_state (h, r->job_id, on_home_answered, r);
    }
}

/* Forwards the request to the home at another instance.  Submitting and
   cancelling take longer, as the home stores a record before it answers.  */
static void
send_to_peer (const char *home, mm_kept_request *r)
{
  gsize len = strlen (r->job_id);
  const void *data = r->job_id;
  if (r->record)
    data = g_bytes_get_data (r->record, &len);
  mm_time_ms timeout_ms
      = MM_KEPT_REQUEST_TIMEOUT_MS
        + (r->verb == MM_KEPT_REQUEST_STATE ? 0 : MM_KEPT_STORE_TIMEOUT_MS);
  mm_mesh_request (r->kept->deps.mesh, home, r->verb, data, len, timeout_ms,
                   on_peer_answered, r);
}

/* Executes the request, forwards it, or lets it wait for its home.  The
   directory may still name this instance after it has closed the home.  */
static void
try_request (mm_kept_request *r)
{
  mm_kept *k = r->kept;
  if (k->closed)
    {
      refuse (r, "this instance has stopped");
      return;
    }
  const char *home = mm_home_directory_lookup (k->directory, r->partition);
  mm_home *h = mm_kept_home_of (k, r->job_id);
  if (h)
    process_here (h, r);
  else if (!home || strcmp (home, k->deps.member) == 0)
    wait_for_home (r, "its home is not known");
  else if (!mm_mesh_is_connected (k->deps.mesh, home))
    {
      mm_mesh_require_link (k->deps.mesh, home);
      wait_for_home (r, "its home is not linked");
    }
  else
    send_to_peer (home, r);
}

void
mm_kept_retry_requests (mm_kept *k)
{
  GList *waiting = g_list_reverse (g_steal_pointer (&k->waiting));
  for (GList *l = waiting; l; l = l->next)
    try_request (l->data);
  g_list_free (waiting);
}

/* @record: the packed job for MM_KEPT_REQUEST_SUBMIT, which the request takes;
   NULL for other verbs.  */
static void
start_request (mm_kept *k, const char *job_id, mm_kept_verb verb,
               GBytes *record, mm_kept_answered answered, void *ctx)
{
  mm_kept_request *r = g_new0 (mm_kept_request, 1);
  r->kept = k;
  r->job_id = g_strdup (job_id);
  r->partition = mm_home_directory_partition_of (k->directory, job_id);
  r->verb = verb;
  r->record = record;
  r->bytes = record ? g_bytes_get_size (record) : 0;
  r->answered = answered;
  r->ctx = ctx;
  r->expires_ms = mm_clock_now_ms () + MM_KEPT_FIND_HOME_TIMEOUT_MS;
  k->refs++;
  if (!mm_budget_take (k->deps.budget, MM_BUDGET_JOBS, r->bytes))
    {
      r->bytes = 0;
      refuse (r, "no memory for jobs");
      return;
    }
  mm_home_directory_set_used (k->directory);
  try_request (r);
}

void
mm_kept_submit (mm_kept *k, mm_submission *s, const mm_route *route,
                mm_kept_answered answered, void *ctx)
{
  mm_job_record *rec = mm_job_record_create (s, route);
  start_request (k, rec->submission->id, MM_KEPT_REQUEST_SUBMIT,
                 mm_job_record_pack (rec), answered, ctx);
  mm_job_record_destroy (rec);
}

void
mm_kept_state (mm_kept *k, const char *job_id, mm_kept_answered answered,
               void *ctx)
{
  start_request (k, job_id, MM_KEPT_REQUEST_STATE, NULL, answered, ctx);
}

void
mm_kept_cancel (mm_kept *k, const char *job_id, mm_kept_answered answered,
                void *ctx)
{
  start_request (k, job_id, MM_KEPT_REQUEST_CANCEL, NULL, answered, ctx);
}
