/* mm_stream: read the newest record of each key, then what is appended.

   The history may be dropped at any time; the newest records stay.  Then
   they are read again, and keys not among them are gone.  */
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
  mm_time_ms pause_ms; /* between reads that do not wait */
  bool in_flight;
  bool tailing;
  bool in_touch;
  bool paused;
  bool fresh;
  bool sent_fresh; /* the call in flight was sent after the last pause */
  uint64_t next;
  GHashTable *keys; /* seen in the reading of the newest records */
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

mm_stream *
mm_stream_create (const mm_store_port *port, mm_stream_kind kind,
                  mm_time_ms wait_ms, mm_time_ms pause_ms,
                  const mm_stream_events *ev)
{
  mm_stream *s = g_new0 (mm_stream, 1);
  s->refs = 1;
  s->port = *port;
  s->kind = kind;
  s->ev = *ev;
  s->wait_ms = wait_ms;
  s->pause_ms = pause_ms;
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
  mm_metrics_count (res->ok ? MM_CT_STREAM_OK : MM_CT_STREAM_FAILED);
  mm_store_note_touch (&s->in_touch, res->ok, names[s->kind], res->why);
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
  bool lost = s->tailing && res->history_lost;
  if (lost)
    read_again (s);
  else
    note_touch (s, res);
  for (size_t i = 0; res->ok && i < res->n_items; i++)
    {
      if (!s->tailing)
        g_hash_table_add (s->keys, g_strdup (res->items[i].key));
      s->ev.item (s->ev.ctx, &res->items[i]);
    }
  if (res->ok && s->tailing)
    {
      s->next = res->next;
      s->due_ms = now + s->pause_ms;
    }
  else if (res->ok)
    {
      /* Pages are not a snapshot: go on from the end that the first one
         told, so that no change between pages is missed.  */
      if (!s->after)
        s->next = res->next;
      g_free (s->after);
      s->after = g_strdup (res->after);
      if (!s->after)
        {
          s->tailing = true;
          if (s->ev.whole)
            s->ev.whole (s->ev.ctx, s->keys);
        }
    }
  s->fresh = s->fresh || (res->ok && s->tailing && s->sent_fresh);
  stream_unref (s);
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
  s->sent_fresh = true;
  s->refs++;
  if (s->tailing)
    s->port.tail (s->port.ctx, s->kind, s->next, s->wait_ms,
                  s->wait_ms + MM_STORE_TIMEOUT_MS / 2, on_result, s);
  else
    s->port.newest (s->port.ctx, s->kind, s->after, MM_STORE_TIMEOUT_MS,
                    on_result, s);
}

void
mm_stream_pause (mm_stream *s)
{
  s->paused = true;
  s->fresh = s->sent_fresh = false;
}

bool
mm_stream_fresh (const mm_stream *s)
{
  return s->fresh;
}

bool
mm_stream_in_touch (const mm_stream *s)
{
  return s->in_touch;
}
