/* mm_stream: follows a stream of the store: first reads the newest record of
   each key, then the records that are appended.  */
#ifndef MM_STREAM_H
#define MM_STREAM_H

#include "mm_store.h"

typedef struct mm_stream mm_stream;

/* Callbacks of mm_stream.  */
typedef struct
{
  /* A record was read.  */
  void (*item) (void *ctx, const mm_stream_item *item);
  /* The newest record of every key was read; a key that is not in @keys no
     longer exists.  May be NULL.  */
  void (*loaded) (void *ctx, GHashTable *keys);
  /* Appended records were read, and item() was called for each.  @at_end:
     whether all records up to the end of the stream are read.  May be NULL. */
  void (*changes) (void *ctx, bool at_end);
  /* Returns the time from sending a read to sending the next one.  NULL: the
     next read is sent at once and waits at the store for a new record.  */
  mm_time_ms (*poll_interval_ms) (void *ctx);
  void *ctx;
} mm_stream_events;

/* @port and @ev are copied.  @wait_ms: how long a read waits at the store for
   a new record.  Free with mm_stream_destroy().  */
mm_stream *mm_stream_create (const mm_store_port *port, mm_stream_kind kind,
                             mm_time_ms wait_ms, const mm_stream_events *ev);
void mm_stream_destroy (mm_stream *s); /* ignores answers yet to come */
void mm_stream_tick (mm_stream *s);    /* sends the next read when it is due */
/* Returns whether the stream was read up to its end since the last pause, by
   this instance or by another one whose changes were applied.  */
bool mm_stream_is_current (const mm_stream *s);
/* Returns the time as of which all records are known, 0: never.  This is when
   the last read that reached the end of the stream was sent, by this instance
   or by another one whose changes were applied.  */
mm_time_ms mm_stream_known_as_of_ms (const mm_stream *s);
/* Returns when this instance sent its last read.  */
mm_time_ms mm_stream_last_sent_ms (const mm_stream *s);
/* Returns the offset before which all records are known.  */
uint64_t mm_stream_next_offset (const mm_stream *s);
/* Skips the records at offsets from @from up to but not including @to, whose
   changes another instance has sent.  @as_of_ms: when that instance's read
   was sent, by the clock of this instance.  Returns whether the records were
   skipped; the caller then applies the changes.  They are not skipped when the
   offset known here is before @from or after @to, or when the newest records
   have not been read yet.  */
bool mm_stream_advance (mm_stream *s, uint64_t from, uint64_t to,
                        mm_time_ms as_of_ms);
/* Makes the next tick send a read, or, if a call is in flight, the first tick
   after its answer.  */
void mm_stream_poll_now (mm_stream *s);
/* Called in place of mm_stream_tick() while the stream is not needed; no read
   is sent.  */
void mm_stream_pause (mm_stream *s);
/* Returns whether the last call succeeded, or all records were known as of
   less than MM_STREAM_CONTACT_MS ago: the calls of this instance may fail
   while the store serves other instances, which send this one the changes that
   they read.  */
bool mm_stream_in_contact (const mm_stream *s);

#endif /* MM_STREAM_H */
