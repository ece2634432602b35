/* mm_stream: follow a stream of the store.  */
#ifndef MM_STREAM_H
#define MM_STREAM_H

#include "mm_store.h"

typedef struct mm_stream mm_stream;

typedef struct
{
  void (*item) (void *ctx, const mm_stream_item *item);
  /* All newest records were read; keys not among them are gone.  NULL
     where that does not matter.  */
  void (*whole) (void *ctx, GHashTable *keys);
  /* Changes were read, @all that there were, and their items told.  NULL
     where that does not matter.  */
  void (*changes) (void *ctx, bool all);
  /* How long after a read was sent the next one is due.  NULL: it is sent at
     once, and waits at the store.  */
  mm_time_ms (*pause_ms) (void *ctx);
  void *ctx;
} mm_stream_events;

mm_stream *mm_stream_create (const mm_store_port *port, mm_stream_kind kind,
                             mm_time_ms wait_ms, const mm_stream_events *ev);
void mm_stream_destroy (mm_stream *s); /* open calls are ignored */
void mm_stream_tick (mm_stream *s);
/* What was read has been brought up to date since the last pause.  */
bool mm_stream_fresh (const mm_stream *s);
/* When the last read was sent that came up to the stream's end, 0: none.  */
mm_time_ms mm_stream_known_ms (const mm_stream *s);
mm_time_ms mm_stream_sent_ms (const mm_stream *s); /* of the last read */
uint64_t mm_stream_next (const mm_stream *s);      /* offset known up to */
/* Another instance passes on what changed in [@from, @to), as of a time.
   Return: whether that follows on what is known here; the changes are the
   caller's to apply.
 */
bool mm_stream_advance (mm_stream *s, uint64_t from, uint64_t to,
                        mm_time_ms as_of_ms);
void mm_stream_hurry (mm_stream *s); /* read at the next tick */
void mm_stream_pause (mm_stream *s); /* instead of a tick: read nothing */
bool mm_stream_in_touch (const mm_stream *s); /* the last call worked */

#endif /* MM_STREAM_H */
