/* mm_job_log: batches of records, one append at a time.

   An append without an answer may have been done, or may be yet: it is sent
   again under the same number until it is answered, and what comes after it
   waits.  The store does a number once.  */
#include "mm_job_log.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>

typedef struct
{
  mm_record record;
  mm_job_log_done done;
  void *ctx;
} entry;

typedef enum
{
  STAGE_FENCING, /* our epoch is being made known */
  STAGE_READING,
  STAGE_OPEN,
  STAGE_FENCED
} stage;

struct mm_job_log
{
  int refs; /* the maker's, and one a call in flight */
  bool closed;
  mm_store_port port;
  mm_job_log_events ev;
  uint32_t part;
  uint64_t epoch;
  uint64_t seq; /* of the next append */
  stage stage;
  char *after;     /* reading goes on after this key */
  GQueue *entries; /* to be written, in order */
  guint sending;   /* of these, in the append that is not answered yet */
  bool in_flight;
  bool in_touch;
  mm_time_ms failing_ms; /* since when calls fail, 0: they do not */
  mm_time_ms pause_ms;   /* between appends, 0 while the store takes all */
  mm_time_ms due_ms;
};

static void
entry_free (gpointer p)
{
  entry *e = p;
  mm_record_clear (&e->record);
  g_free (e);
}

static void
log_unref (mm_job_log *l)
{
  if (--l->refs > 0)
    return;
  g_queue_free_full (l->entries, entry_free);
  g_free (l->after);
  g_free (l);
}

/* Tell the writers of the first @n entries; they may put new ones.  */
static void
finish_entries (mm_job_log *l, guint n, bool ok)
{
  for (guint i = 0; i < n; i++)
    {
      entry *e = g_queue_pop_head (l->entries);
      if (e->done)
        e->done (e->ctx, ok);
      entry_free (e);
    }
}

static void
become_fenced (mm_job_log *l)
{
  l->stage = STAGE_FENCED;
  l->sending = 0;
  mm_log_event (MM_EV_JOBS_FENCED, MM_INT (l->part), MM_INT (l->epoch));
  finish_entries (l, l->entries->length, false);
  if (!l->closed)
    l->ev.fenced (l->ev.ctx);
}

static void
on_appended (mm_job_log *l)
{
  guint n = l->sending;
  l->sending = 0;
  if (n)
    l->seq++;
  finish_entries (l, n, true);
  if (l->stage == STAGE_FENCING)
    l->stage = STAGE_READING;
}

/* How long until the next append.  */
static mm_time_ms
wait_after (mm_job_log *l, mm_append_verdict v)
{
  switch (v)
    {
    case MM_APPEND_OK:
      l->pause_ms = l->pause_ms * 7 / 8;
      return l->pause_ms;
    case MM_APPEND_REFUSED:
      l->pause_ms = CLAMP (l->pause_ms * 2, MM_JOB_LOG_PAUSE_MIN_MS,
                           MM_JOB_LOG_PAUSE_MAX_MS);
      return l->pause_ms;
    case MM_APPEND_NO_ANSWER:
      return MM_JOB_LOG_RETRY_MS;
    case MM_APPEND_OUT_OF_SEQ:
    case MM_APPEND_FENCED:
      break;
    }
  return 0;
}

static void
note_touch (mm_job_log *l, bool ok, const char *why)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (ok)
    l->failing_ms = 0;
  else if (!l->failing_ms)
    l->failing_ms = now;
  mm_store_note_touch (&l->in_touch, ok, "kept jobs", why);
}

static void
take_verdict (mm_job_log *l, const mm_append_result *res)
{
  note_touch (l, res->verdict == MM_APPEND_OK, res->why);
  l->due_ms = mm_clock_now_ms () + wait_after (l, res->verdict);
  if (res->verdict == MM_APPEND_OK)
    on_appended (l);
  else if (res->verdict == MM_APPEND_FENCED)
    become_fenced (l);
  else if (res->verdict == MM_APPEND_OUT_OF_SEQ)
    {
      /* One past ours: an earlier sending of this append was done.  */
      if (res->expected_seq == l->seq + 1 && l->sending)
        on_appended (l);
      else
        l->seq = res->expected_seq;
    }
}

static void
on_append (const mm_append_result *res, void *ctx)
{
  mm_job_log *l = ctx;
  l->in_flight = false;
  mm_metrics_count (res->verdict == MM_APPEND_OK ? MM_CT_APPENDS_OK
                                                 : MM_CT_APPENDS_FAILED);
  if (!l->closed)
    take_verdict (l, res);
  if (!l->closed)
    mm_job_log_tick (l);
  log_unref (l);
}

static void
on_records (const mm_records_result *res, void *ctx)
{
  mm_job_log *l = ctx;
  l->in_flight = false;
  if (l->closed)
    {
      log_unref (l);
      return;
    }
  note_touch (l, res->ok, res->why);
  l->due_ms = mm_clock_now_ms () + (res->ok ? 0 : MM_JOB_LOG_RETRY_MS);
  for (size_t i = 0; res->ok && i < res->n_records; i++)
    l->ev.record (l->ev.ctx, &res->records[i]);
  if (res->ok)
    {
      g_free (l->after);
      l->after = g_strdup (res->after);
    }
  if (res->ok && !l->after)
    {
      l->stage = STAGE_OPEN;
      l->ev.opened (l->ev.ctx);
    }
  log_unref (l);
}

/* As many of the waiting entries as one append takes.  */
static void
fill_batch (mm_job_log *l)
{
  size_t bytes = 0;
  for (GList *e = l->entries->head; e && l->sending < MM_JOB_LOG_MAX_RECORDS;
       e = e->next)
    {
      const mm_record *r = &((entry *)e->data)->record;
      bytes += strlen (r->key) + (r->value ? g_bytes_get_size (r->value) : 0);
      if (l->sending && bytes > MM_JOB_LOG_MAX_BYTES)
        break;
      l->sending++;
    }
}

static void
send_append (mm_job_log *l)
{
  if (!l->sending && l->stage == STAGE_OPEN)
    fill_batch (l);
  mm_record *records = g_new0 (mm_record, l->sending + 1);
  GList *e = l->entries->head;
  for (guint i = 0; i < l->sending; i++, e = e->next)
    records[i] = ((entry *)e->data)->record;
  mm_append a = { .part = l->part,
                  .epoch = l->epoch,
                  .seq = l->seq,
                  .records = records,
                  .n_records = l->sending,
                  .timeout_ms = MM_STORE_TIMEOUT_MS };
  l->in_flight = true;
  l->refs++;
  l->port.append (l->port.ctx, &a, on_append, l);
  g_free (records);
}

void
mm_job_log_tick (mm_job_log *l)
{
  if (l->in_flight || mm_clock_now_ms () < l->due_ms)
    return;
  if (l->stage == STAGE_READING)
    {
      l->in_flight = true;
      l->refs++;
      l->port.records (l->port.ctx, l->part, l->after,
                       mm_store_timeout_ms (&l->port, MM_STORE_TIMEOUT_MS,
                                            MM_STORE_ANSWER_MAX_BYTES),
                       on_records, l);
    }
  else if (l->stage == STAGE_FENCING
           || (l->stage == STAGE_OPEN && l->entries->length))
    send_append (l);
}

/**
 * mm_job_log_open() - become the writer of a partition.
 * @port: the store.
 * @part: the partition.
 * @epoch: higher than any earlier writer's.
 * @ev: what the home is told.
 *
 * Return: the log; close it with mm_job_log_close().
 */
mm_job_log *
mm_job_log_open (const mm_store_port *port, uint32_t part, uint64_t epoch,
                 const mm_job_log_events *ev)
{
  mm_job_log *l = g_new0 (mm_job_log, 1);
  l->refs = 1;
  l->port = *port;
  l->part = part;
  l->epoch = epoch;
  l->ev = *ev;
  l->entries = g_queue_new ();
  return l;
}

void
mm_job_log_close (mm_job_log *l)
{
  if (!l || l->closed)
    return;
  l->closed = true;
  l->sending = 0;
  finish_entries (l, l->entries->length, false);
  log_unref (l);
}

void
mm_job_log_put (mm_job_log *l, const char *key, GBytes *value,
                mm_job_log_done done, void *ctx)
{
  entry *e = g_new0 (entry, 1);
  e->record.key = g_strdup (key);
  e->record.value = value;
  e->done = done;
  e->ctx = ctx;
  g_queue_push_tail (l->entries, e);
  if (l->stage == STAGE_OPEN) /* not while a page is being taken */
    mm_job_log_tick (l);
}

bool
mm_job_log_in_touch (const mm_job_log *l)
{
  return l->in_touch
         || (l->failing_ms
             && mm_clock_now_ms () - l->failing_ms < MM_JOB_LOG_TOUCH_MS);
}

bool
mm_job_log_idle (const mm_job_log *l)
{
  return l->entries->length == 0;
}
