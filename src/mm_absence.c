/* mm_absence: one record stands for all questions that came before it.

   The record is a tombstone of an id that was asked for.  However many ask,
   one is under way at a time, MM_ABSENCE_PAUSE_MS apart.  */
#include "mm_absence.h"

#include "config.h"

typedef struct
{
  char *job_id;
  mm_kept_answered told; /* NULL: it was answered */
  void *ctx;
  mm_time_ms until_ms;
} question;

struct mm_absence
{
  mm_job_log *log;
  GQueue *questions; /* in the order in which they came */
  guint covered;     /* of these, by the record under way; 0: none is */
  mm_time_ms sent_ms;
};

mm_absence *
mm_absence_create (mm_job_log *log)
{
  mm_absence *a = g_new0 (mm_absence, 1);
  a->log = log;
  a->questions = g_queue_new ();
  return a;
}

static void
answer (question *q, mm_kept_status status)
{
  mm_kept_answer said = { .status = status };
  mm_kept_answered told = q->told;
  q->told = NULL;
  if (told)
    told (q->ctx, &said);
}

static void
answer_first (mm_absence *a, guint n, mm_kept_status status)
{
  for (guint i = 0; i < n; i++)
    {
      question *q = g_queue_pop_head (a->questions);
      answer (q, status);
      g_free (q->job_id);
      g_free (q);
    }
}

void
mm_absence_destroy (mm_absence *a)
{
  if (!a)
    return;
  answer_first (a, a->questions->length, MM_KEPT_MOVING);
  g_queue_free (a->questions);
  g_free (a);
}

static void
on_stored (void *ctx, bool ok)
{
  mm_absence *a = ctx;
  guint n = a->covered;
  a->covered = 0;
  answer_first (a, n, ok ? MM_KEPT_NO_JOB : MM_KEPT_MOVING);
}

static void
send_record (mm_absence *a, mm_time_ms now)
{
  if (a->covered || !a->questions->length
      || now - a->sent_ms < MM_ABSENCE_PAUSE_MS)
    return;
  const question *first = g_queue_peek_head (a->questions);
  a->sent_ms = now;
  a->covered = a->questions->length;
  mm_job_log_put (a->log, first->job_id, NULL, on_stored, a);
}

void
mm_absence_ask (mm_absence *a, const char *job_id, mm_kept_answered told,
                void *ctx)
{
  mm_time_ms now = mm_clock_now_ms ();
  question *q = g_new (question, 1);
  *q = (question){ .job_id = g_strdup (job_id),
                   .told = told,
                   .ctx = ctx,
                   .until_ms = now + MM_KEPT_ACCEPT_MS };
  g_queue_push_tail (a->questions, q);
  send_record (a, now);
}

void
mm_absence_tick (mm_absence *a)
{
  mm_time_ms now = mm_clock_now_ms ();
  for (GList *l = a->questions->head; l; l = l->next)
    if (now >= ((question *)l->data)->until_ms)
      answer (l->data, MM_KEPT_BUSY);
  send_record (a, now);
}
