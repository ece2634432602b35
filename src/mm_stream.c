/* mm_stream: reads the newest record of each key, then the records that are
   appended.

   The store may drop old records at any time, but keeps the newest record of
   each key.  When records that were not read yet are dropped, the newest
   records are read again, and keys that are not among them no longer exist.

   The records appended while the store was unreachable can be more than the
   link of this instance carries within the timeout of a call.  Each call would
   then fail, and the next would have more to read.  The records are therefore
   read in chunks, one after another without a pause, or skipped by reading the
   newest records again where that is less to read.  For an answer that cannot
   be split, the timeout grows with each failure.  */
#include "mm_stream.h"

#include "config.h"
#include "mm_metrics.h"

struct mm_stream
{
  int refs;    /* one of the creator, and one of each call in flight */
  bool closed; /* destroyed, and kept until the call in flight ends */
  mm_store_port port;
  mm_stream_kind kind;
  mm_stream_events ev;
  mm_time_ms wait_ms;   /* how long a read waits at the store for a record */
  bool in_flight;       /* a call has not been answered yet */
  bool read_again;      /* another read is due once that call is answered */
  bool tailing;         /* reads appended records; false: the newest records */
  bool in_contact;      /* the last call succeeded */
  bool paused;          /* paused since the last tick */
  mm_time_ms paused_ms; /* time of the last pause, 0: never */
  bool current;         /* read up to the end since the last pause */
  bool sent_after_pause; /* the call in flight was sent after the last pause */
  mm_time_ms sent_ms;    /* when the last call was sent */
  uint64_t sent_from;    /* offset from which the last call read */
  mm_time_ms first_page_ms; /* when the first page of newest was requested */
  /* When the last read that reached the end of the stream was sent, by this
     instance or by another one.  */
  mm_time_ms known_as_of_ms;
  uint64_t next_offset; /* offset of the next record to read */
  size_t chunk_bytes;   /* maximum size of one answer with changes */
  uint32_t failures;    /* consecutive failed calls */
  GHashTable *keys;     /* keys found in the last read of newest */
  char *after; /* last key of the newest records read so far, or NULL */
  mm_time_ms next_read_ms; /* when the next read is due */
};

static void
stream_unref (mm_stream *s)
{
  if (--s->refs > 0)
    return;
  g_hash_table_destroy (s->keys);
  g_free (s->after);
  g_free (s);
}

/* Returns the chunk size for a stream.  */
static size_t
chunk_size (const mm_store_port *port)
{
  if (port->link_mbps <= 0)
    return MM_STORE_ANSWER_MAX_BYTES;
  double bytes = port->link_mbps * 1000 / 8 * MM_STREAM_CHUNK_MS;
  return (size_t)CLAMP (bytes, MM_STREAM_CHUNK_MIN_BYTES,
                        MM_STORE_ANSWER_MAX_BYTES);
}

mm_stream *
mm_stream_create (const mm_store_port *port, mm_stream_kind kind,
                  mm_time_ms wait_ms, const mm_stream_events *ev)
{
  mm_stream *s = g_new0 (mm_stream, 1);
  s->refs = 1;
  s->port = *port;
  s->kind = kind;
  s->ev = *ev;
  s->wait_ms = wait_ms;
  s->chunk_bytes = chunk_size (port);
  s->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return s;
}

void
mm_stream_destroy (mm_stream *s)
{
  if (!s)
    return;
  s->closed = true;
  stream_unref (s);
}

/* Makes the next read start with the first page of the newest records.  */
static void
restart_from_newest (mm_stream *s)
{
  s->tailing = false;
  g_hash_table_remove_all (s->keys);
  g_clear_pointer (&s->after, g_free);
}

/* Counts the call, and logs when contact is lost or restored.  */
static void
record_contact (mm_stream *s, const mm_stream_result *res)
{
  static const char *const names[] = { "configuration", "upstream list" };
  static const mm_counter_id ok[] = { MM_CT_CONFIG_OK, MM_CT_LIST_OK };
  static const mm_counter_id failed[]
      = { MM_CT_CONFIG_FAILED, MM_CT_LIST_FAILED };
  mm_metrics_count (res->ok ? ok[s->kind] : failed[s->kind]);
  mm_store_record_contact (&s->in_contact, res->ok, names[s->kind], res->why);
}

/* Records that all records of the stream are known as of @as_of_ms.
   @after_pause: whether @as_of_ms is after the last pause.  */
static void
reached_end (mm_stream *s, mm_time_ms as_of_ms, bool after_pause)
{
  s->known_as_of_ms = MAX (s->known_as_of_ms, as_of_ms);
  s->current = s->current || after_pause;
}

/* Schedules the next read poll_interval_ms() after the time as of which all
   records are known, or at once without that callback.  */
static void
schedule_next_read (mm_stream *s)
{
  s->next_read_ms = s->known_as_of_ms;
  if (s->ev.poll_interval_ms)
    s->next_read_ms += s->ev.poll_interval_ms (s->ev.ctx);
}

/* Handles an answer with appended records; there may be more to read.  */
static void
handle_changes (mm_stream *s, const mm_stream_result *res)
{
  bool no_progress
      = res->next_offset == s->sent_from && res->end_offset > res->next_offset;
  s->next_offset = res->next_offset;
  uint64_t behind = res->end_offset > s->next_offset
                        ? res->end_offset - s->next_offset
                        : 0;
  if (!behind)
    reached_end (s, s->sent_ms, s->sent_after_pause);
  if (s->ev.changes)
    s->ev.changes (s->ev.ctx, !behind);
  if (!behind)
    schedule_next_read (s);
  /* No progress means that the next record is larger than a chunk.  Of the
     configuration only the newest record is needed, and on a thin link the
     time to read older large ones would delay it.  When many records of a
     stream are unread, reading the newest of each key is also faster.  */
  if (no_progress && s->kind == MM_STREAM_CONFIG)
    restart_from_newest (s);
  else if (no_progress)
    s->chunk_bytes = MIN (s->chunk_bytes * 2, MM_STORE_ANSWER_MAX_BYTES);
  else if (behind
           > (uint64_t)g_hash_table_size (s->keys) * MM_STREAM_BEHIND_FACTOR)
    restart_from_newest (s);
}

/* Handles a page of the newest records.  The pages are not a snapshot: records
   may be appended between two of them.  To miss none, this instance then reads
   appended records from the end of the stream as of the first page.  */
static void
handle_page (mm_stream *s, const mm_stream_result *res)
{
  if (!s->after)
    {
      s->next_offset = res->next_offset;
      s->first_page_ms = s->sent_ms;
    }
  g_free (s->after);
  s->after = g_strdup (res->after);
  if (s->after)
    return;
  s->tailing = true;
  reached_end (s, s->first_page_ms, s->sent_after_pause);
  if (s->ev.loaded)
    s->ev.loaded (s->ev.ctx, s->keys);
  schedule_next_read (s);
}

/* Handles the answer to a read.  Dropped records are no failure: the newest
   records are read again.  */
static void
on_result (const mm_stream_result *res, void *ctx)
{
  mm_stream *s = ctx;
  s->in_flight = false;
  if (s->closed)
    {
      stream_unref (s);
      return;
    }
  mm_time_ms now = mm_clock_now_ms ();
  s->next_read_ms = now + (res->ok ? 0 : MM_STORE_RETRY_MS);
  s->failures = res->ok || res->history_dropped ? 0 : s->failures + 1;
  bool dropped = s->tailing && res->history_dropped;
  if (dropped)
    restart_from_newest (s);
  else
    record_contact (s, res);
  /* An answer is ignored when another instance sent changes up to a later
     offset while the call was in flight.  */
  bool outdated = res->ok && s->tailing && res->next_offset < s->next_offset;
  for (size_t i = 0; res->ok && !outdated && i < res->n_items; i++)
    {
      if (!s->tailing)
        g_hash_table_add (s->keys, g_strdup (res->items[i].key));
      s->ev.item (s->ev.ctx, &res->items[i]);
    }
  if (outdated)
    s->next_read_ms = now;
  else if (res->ok && s->tailing)
    handle_changes (s, res);
  else if (res->ok)
    handle_page (s, res);
  if (res->ok && s->read_again)
    s->next_read_ms = now;
  s->read_again = false;
  stream_unref (s);
}

/* Returns the timeout of the next call.  The size of an answer is not known
   beforehand, as writers choose the size of their records.  So the size that
   the timeout allows for is doubled after each failure.  */
static mm_time_ms
timeout_ms (const mm_stream *s)
{
  size_t typical_bytes
      = s->tailing ? MIN (s->chunk_bytes, MM_STORE_ANSWER_TYPICAL_BYTES)
                   : MM_STORE_ANSWER_TYPICAL_BYTES;
  size_t bytes = MIN (typical_bytes << MIN (s->failures, 8u),
                      MM_STORE_ANSWER_MAX_BYTES);
  mm_time_ms base_ms = s->tailing ? s->wait_ms + MM_STORE_TIMEOUT_MS / 2
                                  : MM_STORE_TIMEOUT_MS;
  return mm_store_timeout_ms (&s->port, base_ms, bytes);
}

void
mm_stream_tick (mm_stream *s)
{
  if (s->paused)
    s->next_read_ms = 0; /* the first tick after a pause reads at once */
  s->paused = false;
  if (s->in_flight || mm_clock_now_ms () < s->next_read_ms)
    return;
  s->in_flight = true;
  s->sent_ms = mm_clock_now_ms ();
  s->sent_from = s->next_offset;
  s->sent_after_pause = true;
  s->refs++;
  if (!s->tailing)
    {
      s->port.newest (s->port.ctx, s->kind, s->after, timeout_ms (s),
                      on_result, s);
      return;
    }
  mm_tail_request t = { .kind = s->kind,
                        .from_offset = s->next_offset,
                        .max_bytes = s->chunk_bytes,
                        .wait_ms = s->wait_ms,
                        .timeout_ms = timeout_ms (s) };
  s->port.tail (s->port.ctx, &t, on_result, s);
}

void
mm_stream_pause (mm_stream *s)
{
  s->paused = true;
  s->paused_ms = mm_clock_now_ms ();
  s->current = s->sent_after_pause = false;
}

void
mm_stream_poll_now (mm_stream *s)
{
  s->next_read_ms = 0;
  /* The answer to a call in flight may lack the newest records.  */
  s->read_again = s->in_flight;
}

bool
mm_stream_is_current (const mm_stream *s)
{
  return s->current;
}

bool
mm_stream_in_contact (const mm_stream *s)
{
  return s->in_contact
         || mm_clock_now_ms () - s->known_as_of_ms < MM_STREAM_CONTACT_MS;
}

mm_time_ms
mm_stream_known_as_of_ms (const mm_stream *s)
{
  return s->known_as_of_ms;
}

mm_time_ms
mm_stream_last_sent_ms (const mm_stream *s)
{
  return s->sent_ms;
}

uint64_t
mm_stream_next_offset (const mm_stream *s)
{
  return s->next_offset;
}

bool
mm_stream_advance (mm_stream *s, uint64_t from, uint64_t to,
                   mm_time_ms as_of_ms)
{
  if (!s->tailing || s->next_offset < from || s->next_offset > to)
    return false;
  s->next_offset = to;
  reached_end (s, as_of_ms, as_of_ms > s->paused_ms);
  schedule_next_read (s);
  return true;
}
