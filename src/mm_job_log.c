/* mm_job_log: writes records in batches, one append at a time.

   An append without an answer may have been executed, or may be executed
   later.  It is resent with the same sequence number until it is answered, and
   later records wait meanwhile.  The store executes each sequence number
   once.  */
#include "mm_job_log.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>

/* Key of the records that change no job.  It is longer than a job's id can be,
   as a record without a value drops the job of its key.  */
static const char check_key[] = "checks whether its home is the current one";
G_STATIC_ASSERT (sizeof check_key - 1 > MM_JOB_ID_MAX);

/* A record that is not stored yet.  */
typedef struct
{
  mm_record record;
  mm_job_log_done done; /* may be NULL */
  void *ctx;            /* for @done */
} entry;

typedef enum
{
  STAGE_FENCING, /* announces the epoch with an empty append */
  STAGE_READING, /* reads the stored records */
  STAGE_OPEN,
  STAGE_FENCED /* another home has the partition */
} stage;

struct mm_job_log
{
  int refs;    /* one of the creator, one per call in flight */
  bool closed; /* mm_job_log_close() was called */
  mm_store_port port;
  mm_job_log_events ev;
  uint32_t partition;
  uint64_t epoch;
  uint64_t seq; /* sequence number of the next append */
  stage stage;
  char *read_after; /* the next read continues after this key */
  GQueue *entries;  /* records to be written, in order */
  guint n_sending;  /* leading entries that are in the unanswered append */
  bool in_flight;   /* a call to the store is not answered yet */
  bool in_contact;  /* the last call has succeeded */
  mm_time_ms failing_since_ms; /* when the first call failed after the last
                                  success, 0: none has failed since */
  mm_time_ms pause_ms; /* pause between appends, 0: the store refuses none */
  mm_time_ms next_call_ms; /* no call is sent before this time */
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
  g_free (l->read_after);
  g_free (l);
}

/* Removes the first @n entries and then calls their callbacks, which may queue
   new entries and so send the next append.  */
static void
finish_entries (mm_job_log *l, guint n, bool ok)
{
  GQueue finished = G_QUEUE_INIT;
  for (guint i = 0; i < n; i++)
    g_queue_push_tail_link (&finished, g_queue_pop_head_link (l->entries));
  entry *e;
  while ((e = g_queue_pop_head (&finished)))
    {
      if (e->done)
        e->done (e->ctx, ok);
      entry_free (e);
    }
}

/* Gives up all records.  Whether those in the last append are stored is not
   known.  */
static void
become_fenced (mm_job_log *l)
{
  l->stage = STAGE_FENCED;
  l->n_sending = 0;
  mm_log_event (MM_EV_JOBS_FENCED, MM_INT (l->partition), MM_INT (l->epoch));
  finish_entries (l, l->entries->length, false);
  if (!l->closed)
    l->ev.fenced (l->ev.ctx);
}

/* The last append was executed.  An append without records, which announces
   the epoch, uses up no sequence number.  */
static void
on_appended (mm_job_log *l)
{
  guint n = l->n_sending;
  l->n_sending = 0;
  if (n)
    l->seq++;
  finish_entries (l, n, true);
  if (l->stage == STAGE_FENCING)
    l->stage = STAGE_READING;
}

/* Returns how long to wait before the next call; 0: no wait.  @last_verdict is
   the outcome of the last append.  Doubles the pause between appends after a
   refused one, and shortens it by an eighth after one that succeeded.  */
static mm_time_ms
delay_after (mm_job_log *l, mm_append_verdict last_verdict)
{
  switch (last_verdict)
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

/* Records whether a call has succeeded; @why: reason of the failure.  */
static void
record_contact (mm_job_log *l, bool ok, const char *why)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (ok)
    l->failing_since_ms = 0;
  else if (!l->failing_since_ms)
    l->failing_since_ms = now;
  mm_store_record_contact (&l->in_contact, ok, "kept jobs", why);
}

/* Handles the outcome of the last append and decides when the next call may be
   sent.  */
static void
handle_verdict (mm_job_log *l, const mm_append_result *res)
{
  record_contact (l, res->verdict == MM_APPEND_OK, res->why);
  l->next_call_ms = mm_clock_now_ms () + delay_after (l, res->verdict);
  if (res->verdict == MM_APPEND_OK)
    on_appended (l);
  else if (res->verdict == MM_APPEND_FENCED)
    become_fenced (l);
  else if (res->verdict == MM_APPEND_OUT_OF_SEQ)
    {
      /* If the store expects the number after that of this append, an earlier
         transmission of the append was executed.  Otherwise the append is sent
         again with the number that the store expects.  */
      if (res->expected_seq == l->seq + 1 && l->n_sending)
        on_appended (l);
      else
        l->seq = res->expected_seq;
    }
}

/* Handles the answer to an append, and sends the next one unless it must
   wait.  */
static void
on_append (const mm_append_result *res, void *ctx)
{
  mm_job_log *l = ctx;
  l->in_flight = false;
  mm_metrics_count (res->verdict == MM_APPEND_OK ? MM_CT_APPENDS_OK
                                                 : MM_CT_APPENDS_FAILED);
  if (!l->closed)
    handle_verdict (l, res);
  if (!l->closed)
    mm_job_log_tick (l);
  log_unref (l);
}

/* Handles a page of stored records.  The log is open after the last page,
   which names no key to continue after.  */
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
  record_contact (l, res->ok, res->why);
  l->next_call_ms = mm_clock_now_ms () + (res->ok ? 0 : MM_JOB_LOG_RETRY_MS);
  for (size_t i = 0; res->ok && i < res->n_records; i++)
    l->ev.record (l->ev.ctx, &res->records[i]);
  if (res->ok)
    {
      g_free (l->read_after);
      l->read_after = g_strdup (res->after);
    }
  if (res->ok && !l->read_after)
    {
      l->stage = STAGE_OPEN;
      l->ev.opened (l->ev.ctx);
    }
  log_unref (l);
}

/* Selects as many waiting entries as fit into one append, at least one.  */
static void
fill_batch (mm_job_log *l)
{
  size_t bytes = 0;
  for (GList *e = l->entries->head; e && l->n_sending < MM_JOB_LOG_MAX_RECORDS;
       e = e->next)
    {
      const mm_record *r = &((entry *)e->data)->record;
      bytes += strlen (r->key) + (r->value ? g_bytes_get_size (r->value) : 0);
      if (l->n_sending && bytes > MM_JOB_LOG_MAX_BYTES)
        break;
      l->n_sending++;
    }
}

/* Resends the batch that has no answer yet, or else sends a new one.  While
   the epoch is being announced, the append holds no records.  */
static void
send_append (mm_job_log *l)
{
  if (!l->n_sending && l->stage == STAGE_OPEN)
    fill_batch (l);
  mm_record *records = g_new0 (mm_record, l->n_sending + 1);
  GList *e = l->entries->head;
  for (guint i = 0; i < l->n_sending; i++, e = e->next)
    records[i] = ((entry *)e->data)->record;
  mm_append_request a = { .partition = l->partition,
                          .epoch = l->epoch,
                          .seq = l->seq,
                          .records = records,
                          .n_records = l->n_sending,
                          .timeout_ms = MM_STORE_TIMEOUT_MS };
  l->in_flight = true;
  l->refs++;
  l->port.append (l->port.ctx, &a, on_append, l);
  g_free (records);
}

void
mm_job_log_tick (mm_job_log *l)
{
  if (l->in_flight || mm_clock_now_ms () < l->next_call_ms)
    return;
  if (l->stage == STAGE_READING)
    {
      l->in_flight = true;
      l->refs++;
      l->port.records (l->port.ctx, l->partition, l->read_after,
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
 * @port: the store; the port is copied.
 * @partition: the partition.
 * @epoch: higher than the epoch of any earlier writer.
 * @ev: callbacks of the home; copied.
 *
 * Return: the log; close it with mm_job_log_close().
 */
mm_job_log *
mm_job_log_open (const mm_store_port *port, uint32_t partition, uint64_t epoch,
                 const mm_job_log_events *ev)
{
  mm_job_log *l = g_new0 (mm_job_log, 1);
  l->refs = 1;
  l->port = *port;
  l->partition = partition;
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
  l->n_sending = 0;
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
  /* The home may queue records while it is given a page of stored records.  A
     tick would then request the same page again.  */
  if (l->stage == STAGE_OPEN)
    mm_job_log_tick (l);
}

void
mm_job_log_check (mm_job_log *l, mm_job_log_done done, void *ctx)
{
  mm_job_log_put (l, check_key, NULL, done, ctx);
}

bool
mm_job_log_in_contact (const mm_job_log *l)
{
  return l->in_contact
         || (l->failing_since_ms
             && mm_clock_now_ms () - l->failing_since_ms
                    < MM_JOB_LOG_CONTACT_GRACE_MS);
}

bool
mm_job_log_idle (const mm_job_log *l)
{
  return l->entries->length == 0;
}
