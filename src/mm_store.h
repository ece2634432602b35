/* mm_store: interface of the core to the platform's store.

   The store keeps streams and groups.  A stream is a sequence of records at
   increasing offsets, of which the newest record of each key is never dropped.
   A group assigns numbered partitions to its members and has a generation that
   increases with each change.

   A result, and all that it points to, is valid only during the callback that
   receives it.  */
#ifndef MM_STORE_H
#define MM_STORE_H

#include "mm_routes.h"
#include "mm_upstream_info.h"

/* The streams that mm_stream reads.  */
typedef enum
{
  MM_STREAM_CONFIG,   /* the operators' configuration and evacuations */
  MM_STREAM_UPSTREAMS /* the upstream list, to which upstreams report */
} mm_stream_kind;

/* A record of a stream.  Its value is @routes or @evacuated in
   MM_STREAM_CONFIG, and @upstream in MM_STREAM_UPSTREAMS.  A record without a
   value drops its key, unless it is @unreadable.  */
typedef struct
{
  char *key;
  mm_routes *routes;
  char *evacuated; /* a data centre to be evacuated */
  mm_upstream_info *upstream;
  /* It has a value that cannot be read: the one before stays in force.  */
  bool unreadable;
} mm_stream_item;

void mm_stream_item_clear (gpointer item); /* frees its fields */

/* Result of a read of a stream.  */
typedef struct
{
  bool ok;
  const char *why;      /* reason of the failure, NULL when ok */
  bool history_dropped; /* tail: the requested records were dropped */
  mm_stream_item *items;
  size_t n_items;
  uint64_t next_offset; /* offset from which to read appended records next */
  uint64_t end_offset;  /* tail: offset past the newest record */
  const char *after;    /* newest: continue after this key, NULL at the end */
} mm_stream_result;

/* Result of joining or leaving a group.  */
typedef struct
{
  bool ok;
  bool nothing_done;          /* failed, and has certainly had no effect */
  const char *why;            /* reason of the failure, NULL when ok */
  uint64_t generation;        /* current generation of the group */
  const uint32_t *partitions; /* partitions assigned to this member */
  size_t n_partitions;
} mm_join_result;

/* A partition of a group and the member that holds it.  */
typedef struct
{
  uint32_t partition;
  const char *member;
} mm_partition_holder;

/* Result of a read of the members of a group.  */
typedef struct
{
  bool ok;
  const char *why;            /* reason of the failure, NULL when ok */
  const char *const *members; /* members that hold a partition, each once */
  size_t n_members;
  const mm_partition_holder *holders; /* of each partition that has one */
  size_t n_holders;
} mm_members_result;

/* A record of a kept job.  A kept job is a durable job: it is stored before
   its caller is told that it is accepted, and it runs to its end whichever
   instance dies.  */
typedef struct
{
  char *key;
  GBytes *value; /* NULL: the record drops its key */
} mm_record;

void mm_record_clear (gpointer record); /* frees its fields */

/* Result of a read of the records of a partition.  */
typedef struct
{
  bool ok;
  const char *why; /* reason of the failure, NULL when ok */
  const mm_record *records;
  size_t n_records;
  const char *after; /* continue after this key, NULL at the end */
} mm_records_result;

/* Records to append for one partition of the kept jobs, all or none.  The
   store refuses an append whose epoch is lower than one that was used for the
   partition before.  Within an epoch appends are numbered, so that an append
   that is sent again takes effect only once.  An append without records
   announces the epoch.  */
typedef struct
{
  uint32_t partition;
  /* Generation at which the partition was assigned to the writer.  */
  uint64_t epoch;
  uint64_t seq; /* number of the append within the epoch */
  const mm_record *records;
  size_t n_records;
  mm_time_ms timeout_ms;
} mm_append_request;

/* Outcome of an append.  */
typedef enum
{
  MM_APPEND_OK,
  MM_APPEND_FENCED,     /* the store has seen a higher epoch */
  MM_APPEND_OUT_OF_SEQ, /* another sequence number is expected next */
  MM_APPEND_REFUSED,    /* nothing was done: overloaded or not working */
  MM_APPEND_NO_ANSWER   /* may have taken effect, or may yet */
} mm_append_verdict;

/* Result of an append.  */
typedef struct
{
  mm_append_verdict verdict;
  uint64_t expected_seq; /* set with MM_APPEND_OUT_OF_SEQ */
  const char *why;       /* reason of the failure, NULL with MM_APPEND_OK */
} mm_append_result;

/* Called once for each call to the store, with its result.  */
typedef void (*mm_stream_answered) (const mm_stream_result *res, void *ctx);
typedef void (*mm_join_answered) (const mm_join_result *res, void *ctx);
typedef void (*mm_members_answered) (const mm_members_result *res, void *ctx);
typedef void (*mm_append_answered) (const mm_append_result *res, void *ctx);
typedef void (*mm_records_answered) (const mm_records_result *res, void *ctx);

/* A read of the records from an offset on, in the order of the stream.  */
typedef struct
{
  mm_stream_kind kind;
  uint64_t from_offset;
  size_t max_bytes;   /* maximum size of the answer */
  mm_time_ms wait_ms; /* wait this long for a record when there is none */
  mm_time_ms timeout_ms;
} mm_tail_request;

/* How the core reaches the store.  Each call has a timeout, after which
   @answered is called with a failure.  */
typedef struct
{
  /* Reads a page of the newest records, one of each key.  The page starts
     after the key @after, NULL for the first page.  */
  void (*newest) (void *ctx, mm_stream_kind kind, const char *after,
                  mm_time_ms timeout_ms, mm_stream_answered answered,
                  void *answered_ctx);
  /* Reads appended records.  @t is read only during the call.  */
  void (*tail) (void *ctx, const mm_tail_request *t,
                mm_stream_answered answered, void *answered_ctx);
  /* Joins a group, or renews the membership for @ttl_ms.  @generation: the
     last generation whose assignment the member has put into effect.  */
  void (*join) (void *ctx, const char *group, const char *member,
                uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
                mm_join_answered answered, void *answered_ctx);
  /* Ends a membership, which may be that of another member.  */
  void (*leave) (void *ctx, const char *group, const char *member,
                 mm_time_ms timeout_ms, mm_join_answered answered,
                 void *answered_ctx);
  /* Reads which members hold the partitions of a group.  */
  void (*members) (void *ctx, const char *group, mm_time_ms timeout_ms,
                   mm_members_answered answered, void *answered_ctx);
  /* Appends records of kept jobs.  @a is read only during the call.  */
  void (*append) (void *ctx, const mm_append_request *a,
                  mm_append_answered answered, void *answered_ctx);
  /* Reads a page of the newest records of a partition of kept jobs.  The page
     starts after the key @after, NULL for the first page.  */
  void (*records) (void *ctx, uint32_t partition, const char *after,
                   mm_time_ms timeout_ms, mm_records_answered answered,
                   void *answered_ctx);
  void *ctx;
  double link_mbps; /* Mbit/s of this instance's link, 0: no relevant limit */
} mm_store_port;

/* Returns the timeout for a call whose answer has @answer_bytes: @base_ms plus
   the time of the answer's transfer over this instance's link.  Half of the
   link is assumed to be busy with other answers.  */
mm_time_ms mm_store_timeout_ms (const mm_store_port *port, mm_time_ms base_ms,
                                size_t answer_bytes);

/* Records the outcome @ok of a call in @in_contact and logs when contact with
   @what is restored, or is lost for the reason @why.  */
void mm_store_record_contact (bool *in_contact, bool ok, const char *what,
                              const char *why);

#endif /* MM_STORE_H */
