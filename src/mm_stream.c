/* mm_stream: read the newest record of each key, then what is appended.

   The history may be dropped at any time; the newest records stay.  Then
   they are read again, and keys not among them are gone.

   What has gathered while the store was out of reach can be more than our
   link carries within a call's timeout; each call would fail then, and the
   next have more to read.  So it is read in pieces, one after the other
   without a pause, or skipped by reading the newest records again where that
   is less; and what cannot be cut is waited for longer after each failure.  */
#include "mm_stream.h"

#include "config.h"
#include "mm_metrics.h"

struct mm_stream
{
  int refs; /* the maker's, and one a call in flight */
  bool closed;
  mm_store_port port;
  mm_stream_kind kind;
  mm_stream_events ev;
  mm_time_ms wait_ms;
  bool in_flight;
  bool tailing;
  bool in_touch;
  bool paused;
  mm_time_ms paused_ms; /* when it last was, 0: never */
  bool fresh;
  bool sent_fresh;    /* the call in flight was sent after the last pause */
  mm_time_ms sent_ms; /* the call in flight */
  uint64_t sent_from;
  mm_time_ms first_page_ms; /* sending of the first page of the newest */
  mm_time_ms known_ms;      /* sending of the last one that came to the end */
  uint64_t next;
  size_t piece_bytes; /* of the changes, in one answer */
  uint32_t failures;  /* calls in a row */
  GHashTable *keys;   /* seen in the reading of the newest records */
  char *after;
  mm_time_ms due_ms;
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

/* A configuration is one record, which cannot be cut.  */
static size_t
piece_of (const mm_store_port *port, mm_stream_kind kind)
{
  if (port->link_mbps <= 0 || kind == MM_STREAM_CONFIG)
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
  s->piece_bytes = piece_of (port, kind);
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

static void
read_again (mm_stream *s)
{
  s->tailing = false;
  g_hash_table_remove_all (s->keys);
  g_clear_pointer (&s->after, g_free);
}

static void
note_touch (mm_stream *s, const mm_stream_result *res)
{
  static const char *const names[] = { "configuration", "upstream list" };
  static const mm_counter_id ok[] = { MM_CT_CONFIG_OK, MM_CT_LIST_OK };
  static const mm_counter_id failed[]
      = { MM_CT_CONFIG_FAILED, MM_CT_LIST_FAILED };
  mm_metrics_count (res->ok ? ok[s->kind] : failed[s->kind]);
  mm_store_note_touch (&s->in_touch, res->ok, names[s->kind], res->why);
}

/* All that was there at @as_of_ms is known.  */
static void
come_to_end (mm_stream *s, mm_time_ms as_of_ms, bool after_pause)
{
  s->known_ms = MAX (s->known_ms, as_of_ms);
  s->fresh = s->fresh || after_pause;
}

/* The next read is due after the pause.  */
static void
read_later (mm_stream *s)
{
  s->due_ms = s->known_ms;
  if (s->ev.pause_ms)
    s->due_ms += s->ev.pause_ms (s->ev.ctx);
}

/* Changes were read; there may be more.  */
static void
take_changes (mm_stream *s, const mm_stream_result *res)
{
  bool stuck = res->next == s->sent_from && res->end > res->next;
  s->next = res->next;
  uint64_t behind = res->end > s->next ? res->end - s->next : 0;
  if (!behind)
    come_to_end (s, s->sent_ms, s->sent_fresh);
  if (s->ev.changes)
    s->ev.changes (s->ev.ctx, !behind);
  if (!behind)
    read_later (s);
  if (stuck)
    s->piece_bytes = MIN (s->piece_bytes * 2, MM_STORE_ANSWER_MAX_BYTES);
  else if (behind
           > (uint64_t)g_hash_table_size (s->keys) * MM_STREAM_BEHIND_FACTOR)
    read_again (s);
}

/* A page of the newest records was read.  Pages are not a snapshot: changes
   are read from the end that the first one told, so that none between pages
   is missed.  */
static void
take_page (mm_stream *s, const mm_stream_result *res)
{
  if (!s->after)
    {
      s->next = res->next;
      s->first_page_ms = s->sent_ms;
    }
  g_free (s->after);
  s->after = g_strdup (res->after);
  if (s->after)
    return;
  s->tailing = true;
  come_to_end (s, s->first_page_ms, s->sent_fresh);
  if (s->ev.whole)
    s->ev.whole (s->ev.ctx, s->keys);
  read_later (s);
}

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
  s->due_ms = now + (res->ok ? 0 : MM_STORE_RETRY_MS);
  s->failures = res->ok || res->history_lost ? 0 : s->failures + 1;
  bool lost = s->tailing && res->history_lost;
  if (lost)
    read_again (s);
  else
    note_touch (s, res);
  /* Somebody else's word came meanwhile and went further.  */
  bool old = res->ok && s->tailing && res->next < s->next;
  for (size_t i = 0; res->ok && !old && i < res->n_items; i++)
    {
      if (!s->tailing)
        g_hash_table_add (s->keys, g_strdup (res->items[i].key));
      s->ev.item (s->ev.ctx, &res->items[i]);
    }
  if (old)
    s->due_ms = now;
  else if (res->ok && s->tailing)
    take_changes (s, res);
  else if (res->ok)
    take_page (s, res);
  stream_unref (s);
}

/* A record is as long as its writer made it: what it takes is found by
   waiting twice as long after each failure.  */
static mm_time_ms
timeout_ms (const mm_stream *s)
{
  size_t usual = s->tailing
                     ? MIN (s->piece_bytes, MM_STORE_ANSWER_TYPICAL_BYTES)
                     : MM_STORE_ANSWER_TYPICAL_BYTES;
  size_t bytes
      = MIN (usual << MIN (s->failures, 8u), MM_STORE_ANSWER_MAX_BYTES);
  mm_time_ms base_ms = s->tailing ? s->wait_ms + MM_STORE_TIMEOUT_MS / 2
                                  : MM_STORE_TIMEOUT_MS;
  return mm_store_timeout_ms (&s->port, base_ms, bytes);
}

void
mm_stream_tick (mm_stream *s)
{
  if (s->paused)
    s->due_ms = 0;
  s->paused = false;
  if (s->in_flight || mm_clock_now_ms () < s->due_ms)
    return;
  s->in_flight = true;
  s->sent_ms = mm_clock_now_ms ();
  s->sent_from = s->next;
  s->sent_fresh = true;
  s->refs++;
  if (!s->tailing)
    {
      s->port.newest (s->port.ctx, s->kind, s->after, timeout_ms (s),
                      on_result, s);
      return;
    }
  mm_tail t = { .kind = s->kind,
                .from = s->next,
                .max_bytes = s->piece_bytes,
                .wait_ms = s->wait_ms,
                .timeout_ms = timeout_ms (s) };
  s->port.tail (s->port.ctx, &t, on_result, s);
}

void
mm_stream_pause (mm_stream *s)
{
  s->paused = true;
  s->paused_ms = mm_clock_now_ms ();
  s->fresh = s->sent_fresh = false;
}

void
mm_stream_hurry (mm_stream *s)
{
  s->due_ms = 0;
}

bool
mm_stream_fresh (const mm_stream *s)
{
  return s->fresh;
}

/* Own calls may fail while others are served, and pass on what they read.  */
bool
mm_stream_in_touch (const mm_stream *s)
{
  return s->in_touch
         || mm_clock_now_ms () - s->known_ms < MM_STREAM_CONTACT_MS;
}

mm_time_ms
mm_stream_known_ms (const mm_stream *s)
{
  return s->known_ms;
}

mm_time_ms
mm_stream_sent_ms (const mm_stream *s)
{
  return s->sent_ms;
}

uint64_t
mm_stream_next (const mm_stream *s)
{
  return s->next;
}

bool
mm_stream_advance (mm_stream *s, uint64_t from, uint64_t to,
                   mm_time_ms as_of_ms)
{
  if (!s->tailing || s->next < from || s->next > to)
    return false;
  s->next = to;
  come_to_end (s, as_of_ms, as_of_ms > s->paused_ms);
  read_later (s);
  return true;
}
