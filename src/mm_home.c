/* mm_home: accepts and runs kept jobs, and stores their progress and
   outcomes.

   A job is accepted when its record is stored, and reported as ended when its
   outcome is stored.  In between its progress is stored from time to time.
   Ends of tasks that are not stored yet stay listed at the upstreams, where
   the next home finds them (mm_task_search).

   Another instance may have been the home for a while without this one's
   notice.  Every home announces its epoch to the log before it reads or
   changes a job, and the log then refuses the records of a lower epoch.  So a
   home whose partition may have been away stores a record first: if the log
   accepts it, no other home has changed a job.  */
#include "mm_home.h"

#include "config.h"
#include "mm_read_barrier.h"
#include "mm_event.h"
#include "mm_job_log.h"
#include "mm_metrics.h"

#include <string.h>

/* A request that waits for a job's record to be stored.  */
typedef struct
{
  mm_kept_answered answered;
  void *ctx;
  bool for_outcome;      /* the record must include the outcome of the job */
  mm_time_ms expires_ms; /* when the request is answered as in doubt */
} waiter;

typedef struct
{
  mm_home *home;
  char id[MM_JOB_ID_MAX + 1];
  mm_job_record *rec;
  mm_kept_tasks *kept_tasks;   /* NULL before the job is accepted, and once it
                                  has ended */
  GList *waiters;              /* waiter, in the order of arrival */
  bool stored;                 /* the record has been stored at least once */
  mm_job_phase reported_phase; /* the phase that callers are given, except
                                  that phase_of() adds "running" */
  mm_time_ms received_ms;      /* when the job arrived at this home */
  mm_time_ms ended_ms;         /* when the outcome was stored, 0: not yet */
  mm_time_ms progress_due_ms;  /* when to store the progress, 0: there is none
                                  to store */
  uint32_t n_writes;           /* writes of the record that have not ended */
  uint64_t bytes;              /* taken from the budget until it has ended */
} job;

/* mm_home_confirm_state() or mm_home_cancel().  */
typedef void (*home_request) (mm_home *h, const char *job_id,
                              mm_kept_answered answered, void *ctx);

struct mm_home
{
  uint32_t partition;
  uint64_t epoch;
  mm_fleet *fleet;
  mm_home_events ev;
  mm_budget *budget; /* of memory, or NULL */
  mm_job_log *log;
  uint64_t held_since;       /* no other instance was the home since this
                                generation, once all checks have succeeded */
  uint32_t n_checks;         /* checks that are not stored, or have failed */
  bool loaded;               /* all stored jobs have been read */
  mm_time_ms start_until_ms; /* tasks may be started until then */
  bool fenced;      /* superseded, or being destroyed: writes that end find no
                       job */
  GHashTable *jobs; /* id -> job */
  GHashTable *unfinished; /* set of the jobs whose outcome is not stored */
  GQueue *ended;          /* jobs whose outcome is stored, oldest first */
  mm_read_barrier *read_barrier; /* requests about unknown jobs */
  uint32_t n_open_jobs;          /* jobs that have not ended */
};

/* A record that is being written to the store.  */
typedef struct
{
  mm_home *home;
  char id[MM_JOB_ID_MAX + 1];
  GArray *acks; /* mm_end_ack of the ends in the record, or NULL */
} pending_write;

static void
answer_waiter (job *j, GList *link, mm_kept_status status)
{
  waiter *w = link->data;
  mm_kept_answer a = { .status = status, .phase = j->reported_phase };
  j->waiters = g_list_delete_link (j->waiters, link);
  if (status == MM_KEPT_IN_DOUBT)
    mm_log_event (MM_EV_KEPT_UNSURE, MM_TEXT (j->id),
                  MM_INT (j->home->partition),
                  MM_TEXT (j->home->fenced ? "its home has moved"
                                           : "the store is slow"));
  w->answered (w->ctx, &a);
  g_free (w);
}

/* Answers the waiters whose time has expired at @expired_by_ms; G_MAXINT64
   answers all of them.  */
static void
answer_waiters (job *j, mm_kept_status status, mm_time_ms expired_by_ms)
{
  GList *next;
  for (GList *l = j->waiters; l; l = next)
    {
      next = l->next;
      if (((waiter *)l->data)->expires_ms <= expired_by_ms)
        answer_waiter (j, l, status);
    }
}

/* Answers the waiters that need no outcome: the job is accepted.  */
static void
answer_accepted (job *j)
{
  GList *next;
  for (GList *l = j->waiters; l; l = next)
    {
      next = l->next;
      if (!((waiter *)l->data)->for_outcome)
        answer_waiter (j, l, MM_KEPT_OK);
    }
}

/* Answers a request about the job once a record of the job, or its outcome, is
   stored, or as in doubt after MM_KEPT_STORE_TIMEOUT_MS.  */
static void
add_waiter (job *j, bool for_outcome, mm_kept_answered answered, void *ctx)
{
  waiter *w = g_new (waiter, 1);
  *w = (waiter){ .answered = answered,
                 .ctx = ctx,
                 .for_outcome = for_outcome,
                 .expires_ms = mm_clock_now_ms () + MM_KEPT_STORE_TIMEOUT_MS };
  j->waiters = g_list_append (j->waiters, w);
}

static void
give_memory (job *j)
{
  mm_budget_give (j->home->budget, MM_BUDGET_JOBS, j->bytes);
  j->bytes = 0;
}

static void
job_free (gpointer p)
{
  job *j = p;
  give_memory (j);
  answer_waiters (j, MM_KEPT_IN_DOUBT, G_MAXINT64);
  mm_kept_tasks_destroy (j->kept_tasks);
  mm_job_record_destroy (j->rec);
  g_free (j);
}

/* Adds a job to the home.  Takes @rec, and memory for a job that goes on.  */
static job *
job_create (mm_home *h, const char *id, mm_job_record *rec)
{
  job *j = g_new0 (job, 1);
  j->home = h;
  if (rec->submission && !mm_job_phase_ended (rec->phase))
    j->bytes = mm_submission_bytes (rec->submission);
  mm_budget_force (h->budget, MM_BUDGET_JOBS, j->bytes);
  g_strlcpy (j->id, id, sizeof j->id);
  j->rec = rec;
  j->reported_phase = rec->phase;
  j->received_ms = mm_clock_now_ms ();
  g_hash_table_insert (h->jobs, j->id, j);
  g_hash_table_add (h->unfinished, j);
  h->n_open_jobs += !mm_job_phase_ended (rec->phase);
  return j;
}

/* The outcome of the job is stored, and can be requested for another
   MM_KEPT_OUTCOME_TTL_MS.  */
static void
set_ended (job *j)
{
  give_memory (j);
  j->ended_ms = mm_clock_now_ms ();
  g_hash_table_remove (j->home->unfinished, j);
  g_queue_push_tail (j->home->ended, j);
}

/* The context of a write of the job's record as it is now.  */
static pending_write *
pending_write_create (job *j)
{
  j->n_writes++;
  pending_write *w = g_new0 (pending_write, 1);
  w->home = j->home;
  g_strlcpy (w->id, j->id, sizeof w->id);
  w->acks = j->kept_tasks ? mm_kept_tasks_take_acks (j->kept_tasks) : NULL;
  return w;
}

/* Frees @w after the write has ended.  If the write has succeeded, reports the
   ends in the record as stored.  Returns the job that was written, NULL when
   the job is no longer here or the write has failed.  */
static job *
pending_write_finish (pending_write *w, bool ok)
{
  mm_home *h = w->home;
  job *j = h->fenced ? NULL : g_hash_table_lookup (h->jobs, w->id);
  if (j)
    j->n_writes--;
  if (ok && w->acks && w->acks->len)
    h->ev.stored (h->ev.ctx, w->acks);
  if (w->acks)
    g_array_free (w->acks, TRUE);
  g_free (w);
  return ok ? j : NULL;
}

static void
on_progress_stored (void *ctx, bool ok)
{
  pending_write_finish (ctx, ok);
}

/* Stores the job's progress so far, and with it the ends that are to be
   acknowledged.  */
static void
store_progress (job *j)
{
  j->progress_due_ms = 0;
  if (mm_kept_tasks_started (j->kept_tasks))
    j->rec->phase = MM_JOB_RUNNING;
  mm_job_log_put (j->home->log, j->id, mm_job_record_pack (j->rec),
                  on_progress_stored, pending_write_create (j));
}

/* Answers the callers with the outcome.  Some tasks of a failed or cancelled
   job may end later: ev.ended has those ends dropped, as no home stores
   them.  */
static void
on_outcome_stored (void *ctx, bool ok)
{
  job *j = pending_write_finish (ctx, ok);
  if (!j)
    return;
  j->reported_phase = j->rec->phase;
  if (j->reported_phase != MM_JOB_COMPLETED)
    j->home->ev.ended (j->home->ev.ctx, j->id);
  set_ended (j);
  mm_metrics_count (MM_CT_KEPT_OVER);
  mm_log_event (MM_EV_KEPT_OVER, MM_TEXT (j->id), MM_TEXT (j->rec->queue),
                MM_TEXT (mm_job_phase_name (j->reported_phase)),
                MM_INT (j->ended_ms - j->received_ms));
  answer_waiters (j, MM_KEPT_OK, G_MAXINT64);
}

/* Ends a job: no task of it starts from now on, and callers are given the
   outcome once it is stored.  Until then the ends of its tasks stay listed at
   the upstreams: if the store cannot be reached, the next home continues the
   job and must not run finished tasks again.  */
static void
end_job (job *j, mm_job_phase phase)
{
  mm_home *h = j->home;
  pending_write *w = pending_write_create (j);
  mm_kept_tasks_destroy (g_steal_pointer (&j->kept_tasks));
  mm_job_record_set_outcome (j->rec, phase);
  j->progress_due_ms = 0;
  h->n_open_jobs--;
  mm_job_log_put (h->log, j->id, mm_job_record_pack (j->rec),
                  on_outcome_stored, w);
}

/* Schedules a write that also covers the progress of the next
   MM_KEPT_PROGRESS_DELAY_MS.  */
static void
on_progress (void *ctx)
{
  job *j = ctx;
  if (!j->progress_due_ms)
    j->progress_due_ms = mm_clock_now_ms () + MM_KEPT_PROGRESS_DELAY_MS;
}

static void
on_tasks_finished (void *ctx, mm_job_phase phase)
{
  end_job (ctx, phase);
}

/* Starts or continues an accepted job.  @taken_over: an earlier home accepted
   the job, and its tasks may be running.  */
static void
start_tasks (job *j, bool taken_over)
{
  mm_kept_tasks_events ev
      = { .progress = on_progress, .finished = on_tasks_finished, .ctx = j };
  j->kept_tasks
      = mm_kept_tasks_create (j->home->fleet, j->rec, taken_over, &ev);
  /* A job without tasks receives no end that would complete it.  */
  if (mm_kept_tasks_all_done (j->kept_tasks))
    end_job (j, MM_JOB_COMPLETED);
  else
    mm_kept_tasks_tick (j->kept_tasks, j->home->start_until_ms);
}

/* ---- opening ---------------------------------------------------------- */

/* Takes over a job that an earlier home has stored.  A record is skipped when
   it is invalid, which is logged, or when its key is too long for a job's id
   or the job has been read already.  */
static void
on_record (void *ctx, const mm_record *r)
{
  mm_home *h = ctx;
  GError *error = NULL;
  gsize len = 0;
  const void *data = r->value ? g_bytes_get_data (r->value, &len) : NULL;
  mm_job_record *rec = data ? mm_job_record_unpack (data, len, &error) : NULL;
  if (!rec || strlen (r->key) > MM_JOB_ID_MAX
      || g_hash_table_contains (h->jobs, r->key))
    {
      if (!rec)
        g_warning ("kept job %s: invalid stored record: %s", r->key,
                   error ? error->message : "no value");
      g_clear_error (&error);
      mm_job_record_destroy (rec);
      return;
    }
  job *j = job_create (h, r->key, rec);
  j->stored = true;
  if (mm_job_phase_ended (rec->phase))
    set_ended (j);
  else
    start_tasks (j, true);
}

static void
on_opened (void *ctx)
{
  mm_home *h = ctx;
  h->loaded = true;
  mm_log_event (MM_EV_JOBS_LOADED, MM_INT (h->partition), MM_INT (h->epoch),
                MM_INT (g_hash_table_size (h->jobs)), MM_INT (h->n_open_jobs));
}

/* Another instance is the home now, and may have stored changes of the jobs
   since: this home answers MM_KEPT_MOVING from now on.  */
static void
on_fenced (void *ctx)
{
  mm_home *h = ctx;
  h->fenced = true;
  h->loaded = false;
  h->ev.fenced (h->ev.ctx, h);
}

void
mm_home_set_budget (mm_home *h, mm_budget *budget)
{
  h->budget = budget;
}

mm_home *
mm_home_create (const mm_store_port *store, mm_fleet *fleet,
                uint32_t partition, uint64_t epoch, const mm_home_events *ev)
{
  mm_home *h = g_new0 (mm_home, 1);
  h->partition = partition;
  h->epoch = h->held_since = epoch;
  h->fleet = fleet;
  h->ev = *ev;
  h->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free);
  h->unfinished = g_hash_table_new (NULL, NULL);
  h->ended = g_queue_new ();
  mm_job_log_events log = {
    .record = on_record, .opened = on_opened, .fenced = on_fenced, .ctx = h
  };
  h->log = mm_job_log_open (store, partition, epoch, &log);
  h->read_barrier = mm_read_barrier_create (h->log);
  return h;
}

void
mm_home_destroy (mm_home *h)
{
  if (!h)
    return;
  mm_log_event (MM_EV_JOBS_HANDED_OVER, MM_INT (h->partition),
                MM_INT (h->n_open_jobs));
  h->fenced = true; /* callbacks of pending writes must not use the jobs */
  mm_job_log_close (h->log);
  mm_read_barrier_destroy (h->read_barrier);
  g_hash_table_destroy (h->unfinished);
  g_queue_free (h->ended);
  g_hash_table_destroy (h->jobs);
  g_free (h);
}

/* ---- checks ----------------------------------------------------------- */

static void
on_check_stored (void *ctx, bool ok)
{
  mm_home *h = ctx;
  h->n_checks -= ok;
}

/**
 * mm_home_set_held_since() - check whether this instance is still the home.
 * @h: the home.
 * @generation: of the group of homes; since then no other instance can have
 *              held the partition.
 *
 * If @generation is higher than any before, another instance may have been the
 * home in between.  Until the log has accepted a record that is written now,
 * no task starts and mm_home_current() is false.
 */
void
mm_home_set_held_since (mm_home *h, uint64_t generation)
{
  if (generation <= h->held_since)
    return;
  h->held_since = generation;
  h->n_checks++;
  mm_log_event (MM_EV_JOBS_CHECKED, MM_INT (h->partition), MM_INT (h->epoch),
                MM_INT (generation), MM_INT (h->n_open_jobs));
  mm_job_log_check (h->log, on_check_stored, h);
}

bool
mm_home_current (const mm_home *h)
{
  return h->n_checks == 0 && !h->fenced;
}

/* ---- callers ---------------------------------------------------------- */

/* The record of a new job is stored: the job is accepted and starts.  */
static void
on_accept_stored (void *ctx, bool ok)
{
  job *j = pending_write_finish (ctx, ok);
  if (!j)
    return;
  j->stored = true;
  mm_metrics_count (MM_CT_KEPT_ACCEPTED);
  mm_log_event (MM_EV_KEPT_ACCEPTED, MM_TEXT (j->id), MM_TEXT (j->rec->queue),
                MM_INT (j->rec->submission
                            ? mm_submission_tasks (j->rec->submission)
                            : 0),
                MM_INT (j->home->partition),
                MM_INT (mm_clock_now_ms () - j->received_ms));
  answer_accepted (j);
  if (mm_job_phase_ended (j->rec->phase))
    return; /* cancelled while the record was being stored */
  start_tasks (j, false);
}

/* Refuses a new job; @why is for the log.  */
static void
refuse (mm_home *h, const mm_job_record *rec, const char *why,
        uint32_t retry_after_s, mm_kept_answered answered, void *ctx)
{
  mm_kept_answer a
      = { .status = MM_KEPT_BUSY, .retry_after_s = retry_after_s };
  mm_metrics_count (MM_CT_KEPT_REFUSED);
  mm_log_event (MM_EV_KEPT_REFUSED, MM_TEXT (rec->submission->id),
                MM_INT (h->partition), MM_TEXT (why));
  answered (ctx, &a);
}

/* Admission control: a job that no upstream can run, or that could only finish
   long after its result is of use, is refused at once instead of being stored
   and queued.  */
static mm_admission
admit (const mm_home *h, const mm_job_record *rec)
{
  mm_load load
      = mm_fleet_load (h->fleet, rec->service, rec->priority,
                       mm_submission_largest_cpu_milli (rec->submission));
  mm_time_ms chain_ms = mm_submission_chain_ms (rec->submission);
  mm_admission a = mm_admission_decide (
      &load, mm_submission_first_tasks (rec->submission),
      mm_admission_limit_of_objective_ms (rec->objective_ms, chain_ms));
  a.retry_after_s
      = mm_admission_retry_after_s (&load, a.wait_ms, rec->submission->id);
  if (mm_fleet_excludes (h->fleet, rec->service, rec->submission))
    {
      a.accept = false;
      a.why = mm_admission_no_such_upstream;
    }
  return a;
}

/**
 * mm_home_submit() - accept a new job, or refuse it.
 * @h: the job's home.
 * @rec: the job; ownership is taken.
 * @answered: called once the job is stored, or at once if it is refused or
 *            already stored.
 * @ctx: for @answered.
 *
 * A job that is submitted again under the same id is not run again.  While the
 * store does not answer, no job can be accepted, and the caller is refused at
 * once with MM_KEPT_BUSY.  Until the stored jobs have been read, the answer is
 * MM_KEPT_MOVING.
 */
void
mm_home_submit (mm_home *h, mm_job_record *rec, mm_kept_answered answered,
                void *ctx)
{
  job *j = g_hash_table_lookup (h->jobs, rec->submission->id);
  mm_admission admission;
  if (!h->loaded)
    {
      mm_kept_answer a = { .status = MM_KEPT_MOVING };
      answered (ctx, &a);
    }
  else if (j && j->stored)
    {
      mm_kept_answer a = { .status = MM_KEPT_OK, .phase = j->reported_phase };
      answered (ctx, &a);
    }
  else if (j)
    add_waiter (j, false, answered, ctx);
  else if (!mm_job_log_in_contact (h->log))
    refuse (h, rec, "the store does not answer", 1, answered, ctx);
  else if (!mm_budget_has (h->budget, MM_BUDGET_JOBS,
                           mm_submission_bytes (rec->submission)))
    refuse (h, rec, "no memory for jobs", MM_RETRY_AFTER_NO_CAPACITY_S,
            answered, ctx);
  else if (!(admission = admit (h, rec)).accept)
    refuse (h, rec, admission.why, admission.retry_after_s, answered, ctx);
  else
    {
      j = job_create (h, rec->submission->id, rec);
      add_waiter (j, false, answered, ctx);
      mm_job_log_put (h->log, j->id, mm_job_record_pack (rec),
                      on_accept_stored, pending_write_create (j));
      return;
    }
  mm_job_record_destroy (rec);
}

/* The phase that callers are given.  A job counts as running as soon as one of
   its tasks has started, before that is stored.  */
static mm_job_phase
phase_of (const job *j)
{
  if (j->reported_phase == MM_JOB_QUEUED && j->kept_tasks
      && mm_kept_tasks_started (j->kept_tasks))
    return MM_JOB_RUNNING;
  return j->reported_phase;
}

void
mm_home_state (mm_home *h, const char *job_id, mm_kept_answer *out)
{
  const job *j = g_hash_table_lookup (h->jobs, job_id);
  *out = (mm_kept_answer){ .status = MM_KEPT_MOVING };
  if (!h->loaded)
    return;
  out->status = j ? MM_KEPT_OK : MM_KEPT_NO_JOB;
  if (j)
    out->phase = phase_of (j);
}

bool
mm_home_has_stored_done (const mm_home *h, const mm_task_id *task)
{
  const job *j = g_hash_table_lookup (h->jobs, task->job);
  /* What is in the record is stored if no write of it is due or under way.  */
  return h->loaded && j && j->stored && j->kept_tasks && !j->n_writes
         && !j->progress_due_ms && mm_kept_tasks_is_done (j->kept_tasks, task);
}

/* A request about a job that the home did not know when it arrived.  */
typedef struct
{
  mm_home *home;
  char id[MM_JOB_ID_MAX + 1];
  home_request handle; /* handles it again if the job has arrived */
  mm_kept_answered answered;
  void *ctx;
} unknown_job_request;

/* Handles the answer of the read barrier: the home was the current one when
   the request arrived.  The job may have been accepted since.  */
static void
on_barrier_answered (void *ctx, const mm_kept_answer *a)
{
  unknown_job_request *r = ctx;
  mm_home *h = r->home;
  if (a->status == MM_KEPT_NO_JOB && !h->fenced
      && g_hash_table_contains (h->jobs, r->id))
    r->handle (h, r->id, r->answered, r->ctx);
  else
    r->answered (r->ctx, a);
  g_free (r);
}

/* Handles a request about a job.  If the home does not know the job, @handle
   is called again if the job arrives before the store has confirmed that the
   home is the current one.  */
static void
confirm_state (mm_home *h, const char *job_id, home_request handle,
               mm_kept_answered answered, void *ctx)
{
  mm_kept_answer a;
  mm_home_state (h, job_id, &a);
  /* A longer id cannot have been accepted at any home.  */
  bool valid_id = strlen (job_id) <= MM_JOB_ID_MAX;
  if (a.status == MM_KEPT_NO_JOB && valid_id)
    {
      if (mm_job_log_in_contact (h->log))
        {
          unknown_job_request *r = g_new (unknown_job_request, 1);
          *r = (unknown_job_request){
            .home = h, .handle = handle, .answered = answered, .ctx = ctx
          };
          g_strlcpy (r->id, job_id, sizeof r->id);
          mm_read_barrier_request (h->read_barrier, on_barrier_answered, r);
          return;
        }
      a.status = MM_KEPT_BUSY;
    }
  answered (ctx, &a);
}

void
mm_home_confirm_state (mm_home *h, const char *job_id,
                       mm_kept_answered answered, void *ctx)
{
  confirm_state (h, job_id, mm_home_confirm_state, answered, ctx);
}

void
mm_home_cancel (mm_home *h, const char *job_id, mm_kept_answered answered,
                void *ctx)
{
  job *j = g_hash_table_lookup (h->jobs, job_id);
  mm_kept_answer a = { .status = MM_KEPT_OK };
  if (!h->loaded || !j)
    {
      confirm_state (h, job_id, mm_home_cancel, answered, ctx);
      return;
    }
  if (!j->ended_ms && !mm_job_log_in_contact (h->log))
    {
      a.status = MM_KEPT_BUSY;
      answered (ctx, &a);
      return;
    }
  if (!j->ended_ms)
    {
      /* The request is answered only once the outcome is stored, also when
         the job was cancelled before: until the outcome is stored, the next
         home would continue the job.  */
      add_waiter (j, true, answered, ctx);
      if (!mm_job_phase_ended (j->rec->phase))
        end_job (j, MM_JOB_CANCELLED);
      return;
    }
  else
    a.phase = j->reported_phase;
  answered (ctx, &a);
}

uint32_t
mm_home_pending (const mm_home *h, const char *queue)
{
  uint32_t n = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, h->unfinished);
  while (g_hash_table_iter_next (&it, &v, NULL))
    {
      const job *j = v;
      n += j->stored && j->kept_tasks && !mm_kept_tasks_started (j->kept_tasks)
           && strcmp (j->rec->queue, queue) == 0;
    }
  return n;
}

/* ---- time ------------------------------------------------------------- */

/* Drops the outcomes that were stored MM_KEPT_OUTCOME_TTL_MS ago: callers do
   not request them any more.  */
static void
drop_expired_outcomes (mm_home *h, mm_time_ms now)
{
  job *j;
  while ((j = g_queue_peek_head (h->ended))
         && now - j->ended_ms >= MM_KEPT_OUTCOME_TTL_MS)
    {
      g_queue_pop_head (h->ended);
      mm_job_log_put (h->log, j->id, NULL, NULL, NULL);
      g_hash_table_remove (h->jobs, j->id);
    }
}

/* Answers expired waiters, stores progress that is due, and dispatches the
   waiting tasks if they may start.  */
static void
tick_job (job *j, mm_time_ms now)
{
  answer_waiters (j, MM_KEPT_IN_DOUBT, now);
  if (j->progress_due_ms && now >= j->progress_due_ms)
    store_progress (j);
  if (j->kept_tasks)
    mm_kept_tasks_tick (j->kept_tasks, j->home->start_until_ms);
}

void
mm_home_tick (mm_home *h, mm_time_ms start_until_ms)
{
  h->start_until_ms = mm_home_current (h) ? start_until_ms : 0;
  mm_job_log_tick (h->log);
  if (!h->loaded)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  GList *jobs = g_hash_table_get_keys (h->unfinished);
  for (GList *l = jobs; l && !h->fenced; l = l->next)
    tick_job (l->data, now);
  g_list_free (jobs);
  if (!h->fenced)
    drop_expired_outcomes (h, now);
  mm_read_barrier_tick (h->read_barrier);
}

bool
mm_home_idle (const mm_home *h)
{
  if (!mm_job_log_idle (h->log))
    return false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, h->unfinished);
  while (g_hash_table_iter_next (&it, &v, NULL))
    if (((job *)v)->kept_tasks
        && mm_kept_tasks_n_dispatched (((job *)v)->kept_tasks))
      return false;
  return true;
}

uint32_t
mm_home_open_jobs (const mm_home *h)
{
  return h->n_open_jobs;
}

/* ---- tasks in doubt --------------------------------------------------- */

void
mm_home_in_doubt (const mm_home *h, GHashTable *tasks)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, h->unfinished);
  while (g_hash_table_iter_next (&it, &v, NULL))
    if (((job *)v)->kept_tasks
        && mm_kept_tasks_n_in_doubt (((job *)v)->kept_tasks))
      mm_kept_tasks_in_doubt (((job *)v)->kept_tasks, tasks);
}

void
mm_home_record_end (mm_home *h, const mm_found_end *e, const char *owner)
{
  job *j = g_hash_table_lookup (h->jobs, e->task.job);
  if (j && j->kept_tasks)
    mm_kept_tasks_record_end (j->kept_tasks, e, owner);
}

void
mm_home_clear_in_doubt (mm_home *h, GHashTable *tasks)
{
  GList *jobs = g_hash_table_get_keys (h->unfinished);
  for (GList *l = jobs; l; l = l->next)
    {
      job *j = l->data;
      uint32_t n
          = j->kept_tasks ? mm_kept_tasks_n_in_doubt (j->kept_tasks) : 0;
      if (!n)
        continue;
      mm_log_event (MM_EV_KEPT_FOUND, MM_TEXT (j->id), MM_INT (n));
      mm_kept_tasks_clear_in_doubt (j->kept_tasks, tasks);
    }
  g_list_free (jobs);
}
