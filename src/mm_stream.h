/* mm_stream: follows a stream of the store.  */
#ifndef MM_STREAM_H
#define MM_STREAM_H

#include "mm_store.h"

typedef struct mm_stream mm_stream;

typedef struct
{
  /* A record was read.  */
  void (*item) (void *ctx, const mm_stream_item *item);
  /* All newest records were read; other keys no longer exist.  May be
     NULL.  */
  void (*loaded) (void *ctx, GHashTable *keys);
  /* Changes were read, and item() was called for each.  @at_end: all
     records up to the end of the stream are read.  May be NULL.  */
  void (*changes) (void *ctx, bool at_end);
  /* Returns the time from sending a read to sending the next.  NULL: the next
     read is sent at once and waits at the store for a new record.  */
  mm_time_ms (*poll_interval_ms) (void *ctx);
  void *ctx;
} mm_stream_events;

mm_stream *mm_stream_create (const mm_store_port *port, mm_stream_kind kind,
                             mm_time_ms wait_ms, const mm_stream_events *ev);
void mm_stream_destroy (mm_stream *s); /* ignores answers yet to come */
void mm_stream_tick (mm_stream *s);    /* sends the next read when it is due */
/* Returns whether the records known here were brought up to the end of the
   stream since the last pause.  */
bool mm_stream_is_current (const mm_stream *s);
/* Returns the time as of which all records are known: when the last read that
   reached the end of the stream was sent, here or by the instance whose
   changes were applied; 0: never.  */
mm_time_ms mm_stream_known_as_of_ms (const mm_stream *s);
/* Returns when the last read was sent.  */
mm_time_ms mm_stream_last_sent_ms (const mm_stream *s);
/* Returns the offset before which all records are known.  */
uint64_t mm_stream_next_offset (const mm_stream *s);
/* Skips the offsets in [@from, @to), whose changes another instance sent as of
   the time @as_of_ms.  Return: whether they follow on the offset known here;
   the caller then applies the changes.  */
bool mm_stream_advance (mm_stream *s, uint64_t from, uint64_t to,
                        mm_time_ms as_of_ms);
void mm_stream_poll_now (mm_stream *s); /* makes the next tick send a read */
void mm_stream_pause (mm_stream *s);    /* in place of a tick: sends no read */
/* Returns whether the last call succeeded or the stream is known up to a
   recent time.  */
bool mm_stream_in_contact (const mm_stream *s);

#endif /* MM_STREAM_H */
