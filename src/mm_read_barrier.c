/* mm_read_barrier: stores a record to confirm that a job does not exist.  One
   stored record confirms all requests received before it.

   The record changes no job: one of the jobs may arrive while requests for it
   wait.  However many requests arrive, at most one record is in flight, and
   records are sent at least MM_READ_BARRIER_PAUSE_MS apart.  */
#include "mm_read_barrier.h"

#include "config.h"

/* A request for a job that this home does not know.  It stays in the queue
   after it has expired, as n_covered may count it.  */
typedef struct
{
  mm_kept_answered answered; /* NULL once called */
  void *ctx;
  mm_time_ms expires_ms; /* when it is answered with MM_KEPT_BUSY */
} request;

struct mm_read_barrier
{
  mm_job_log *log;  /* not owned */
  GQueue *requests; /* in the order of arrival */
  /* The first requests in the queue, which the record in flight confirms; 0:
     no record is in flight.  */
  guint n_covered;
  mm_time_ms record_sent_ms; /* when the last record was sent */
};

mm_read_barrier *
mm_read_barrier_create (mm_job_log *log)
{
  mm_read_barrier *barrier = g_new0 (mm_read_barrier, 1);
  barrier->log = log;
  barrier->requests = g_queue_new ();
  return barrier;
}

static void
answer (request *r, mm_kept_status status)
{
  mm_kept_answer result = { .status = status };
  mm_kept_answered answered = r->answered;
  r->answered = NULL;
  if (answered)
    answered (r->ctx, &result);
}

/* Answers the first @n requests in the queue and removes them.  */
static void
answer_first (mm_read_barrier *barrier, guint n, mm_kept_status status)
{
  for (guint i = 0; i < n; i++)
    {
      request *r = g_queue_pop_head (barrier->requests);
      answer (r, status);
      g_free (r);
    }
}

void
mm_read_barrier_destroy (mm_read_barrier *barrier)
{
  if (!barrier)
    return;
  answer_first (barrier, barrier->requests->length, MM_KEPT_MOVING);
  g_queue_free (barrier->requests);
  g_free (barrier);
}

/* Answers the requests that the record covers.  If the record was not stored,
   or this is not known, another instance may be the home by now.  */
static void
on_stored (void *ctx, bool ok)
{
  mm_read_barrier *barrier = ctx;
  guint n = barrier->n_covered;
  barrier->n_covered = 0;
  answer_first (barrier, n, ok ? MM_KEPT_NO_JOB : MM_KEPT_MOVING);
}

/* Sends a record that confirms all requests in the queue, unless a record is
   in flight or was sent less than MM_READ_BARRIER_PAUSE_MS ago.  */
static void
store_record (mm_read_barrier *barrier, mm_time_ms now)
{
  if (barrier->n_covered || !barrier->requests->length
      || now - barrier->record_sent_ms < MM_READ_BARRIER_PAUSE_MS)
    return;
  barrier->record_sent_ms = now;
  barrier->n_covered = barrier->requests->length;
  mm_job_log_check (barrier->log, on_stored, barrier);
}

void
mm_read_barrier_request (mm_read_barrier *barrier, mm_kept_answered answered,
                         void *ctx)
{
  mm_time_ms now = mm_clock_now_ms ();
  request *r = g_new (request, 1);
  *r = (request){ .answered = answered,
                  .ctx = ctx,
                  .expires_ms = now + MM_KEPT_STORE_TIMEOUT_MS };
  g_queue_push_tail (barrier->requests, r);
  store_record (barrier, now);
}

void
mm_read_barrier_tick (mm_read_barrier *barrier)
{
  mm_time_ms now = mm_clock_now_ms ();
  for (GList *l = barrier->requests->head; l; l = l->next)
    if (now >= ((request *)l->data)->expires_ms)
      answer (l->data, MM_KEPT_BUSY);
  store_record (barrier, now);
}
