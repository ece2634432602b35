/* mm_store: what the core asks of the platform's store.

   The store keeps streams whose newest record of each key stays, and
   groups: members among which numbered partitions are shared out, with a
   generation that rises at each change.  */
#ifndef MM_STORE_H
#define MM_STORE_H

#include "mm_routes.h"
#include "mm_upstream_info.h"

typedef enum
{
  MM_STREAM_CONFIG,   /* the operators' configuration */
  MM_STREAM_UPSTREAMS /* the upstreams' reports of themselves */
} mm_stream_kind;

/* A record; with neither value the key is dropped.  */
typedef struct
{
  char *key;
  mm_routes *routes;          /* MM_STREAM_CONFIG */
  mm_upstream_info *upstream; /* MM_STREAM_UPSTREAMS */
} mm_stream_item;

void mm_stream_item_clear (gpointer item); /* frees what it holds */

typedef struct
{
  bool ok;
  const char *why;   /* when not ok */
  bool history_lost; /* tail: the records asked for are gone */
  mm_stream_item *items;
  size_t n_items;
  uint64_t next;     /* offset to go on from */
  uint64_t end;      /* tail: offset past the newest record */
  const char *after; /* newest: go on after this key, NULL at the end */
} mm_stream_result;

typedef struct
{
  bool ok;
  const char *why;
  uint64_t generation;
  const uint32_t *parts; /* this member's */
  size_t n_parts;
} mm_join_result;

/* A partition of a group, and who holds it.  */
typedef struct
{
  uint32_t part;
  const char *member;
} mm_part_holder;

typedef struct
{
  bool ok;
  const char *why;
  const char *const *members; /* those that hold a partition */
  size_t n_members;
  const mm_part_holder *holders; /* of each partition that has one */
  size_t n_holders;
} mm_members_result;

/* A record of a kept job; without a value its key is dropped.  */
typedef struct
{
  char *key;
  GBytes *value;
} mm_record;

void mm_record_clear (gpointer record); /* frees what it holds */

typedef struct
{
  bool ok;
  const char *why;
  const mm_record *records;
  size_t n_records;
  const char *after; /* go on after this key, NULL at the end */
} mm_records_result;

/* Records for one partition of the kept jobs, all or none.  An epoch lower
   than one that the partition has seen is refused; within an epoch, appends
   are numbered, so that one sent again is done once.  Without records it
   makes the epoch known.  */
typedef struct
{
  uint32_t part;
  uint64_t epoch;
  uint64_t seq;
  const mm_record *records;
  size_t n_records;
  mm_time_ms timeout_ms;
} mm_append;

typedef enum
{
  MM_APPEND_OK,
  MM_APPEND_FENCED,     /* a higher epoch was seen */
  MM_APPEND_OUT_OF_SEQ, /* another number is expected next */
  MM_APPEND_REFUSED,    /* nothing was done: overloaded or out of order */
  MM_APPEND_NO_ANSWER   /* may have been done, or may be yet */
} mm_append_verdict;

typedef struct
{
  mm_append_verdict verdict;
  uint64_t expected_seq; /* MM_APPEND_OUT_OF_SEQ */
  const char *why;       /* when not MM_APPEND_OK */
} mm_append_result;

typedef void (*mm_stream_done) (const mm_stream_result *res, void *ctx);
typedef void (*mm_join_done) (const mm_join_result *res, void *ctx);
typedef void (*mm_members_done) (const mm_members_result *res, void *ctx);
typedef void (*mm_append_done) (const mm_append_result *res, void *ctx);
typedef void (*mm_records_done) (const mm_records_result *res, void *ctx);

/* A read of the records from an offset on, in the order they came.  */
typedef struct
{
  mm_stream_kind kind;
  uint64_t from;
  size_t max_bytes;   /* of the answer */
  mm_time_ms wait_ms; /* for a record, when there is none yet */
  mm_time_ms timeout_ms;
} mm_tail;

typedef struct
{
  void (*newest) (void *ctx, mm_stream_kind kind, const char *after,
                  mm_time_ms timeout_ms, mm_stream_done done, void *done_ctx);
  void (*tail) (void *ctx, const mm_tail *t, mm_stream_done done,
                void *done_ctx);
  void (*join) (void *ctx, const char *group, const char *member,
                uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
                mm_join_done done, void *done_ctx);
  void (*leave) (void *ctx, const char *group, const char *member,
                 mm_time_ms timeout_ms, mm_join_done done, void *done_ctx);
  void (*members) (void *ctx, const char *group, mm_time_ms timeout_ms,
                   mm_members_done done, void *done_ctx);
  /* Kept jobs: @a is read during the call only.  */
  void (*append) (void *ctx, const mm_append *a, mm_append_done done,
                  void *done_ctx);
  void (*records) (void *ctx, uint32_t part, const char *after,
                   mm_time_ms timeout_ms, mm_records_done done,
                   void *done_ctx);
  void *ctx;
  double link_mbps; /* of this instance's link, 0: no limit that matters */
} mm_store_port;

/* How long to wait for an answer of so many bytes: @base_ms, and what it
   takes over our link while half of that is busy with other answers.  */
mm_time_ms mm_store_timeout_ms (const mm_store_port *port, mm_time_ms base_ms,
                                size_t answer_bytes);

/* A call ended: log that @what is in reach again, or no longer and @why. */
void mm_store_note_touch (bool *in_touch, bool ok, const char *what,
                          const char *why);

#endif /* MM_STORE_H */
