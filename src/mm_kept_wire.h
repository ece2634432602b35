/* mm_kept_wire: msgpack encoding of the requests and notifications about kept
   jobs that instances send to each other.

   Most requests are answered with a mm_kept_answer, packed as
   [status, phase, pending, retry_after_s].  The data of each message:

     REQUEST_SUBMIT   a packed mm_job_record  -> mm_kept_answer
     REQUEST_STATE    the job's id            -> mm_kept_answer
     REQUEST_CANCEL   the job's id            -> mm_kept_answer
     REQUEST_PENDING  the queue's name        -> mm_kept_answer
     REQUEST_FOREIGN  the job's id, a zero byte, a task set
                      -> mm_kept_answer; BUSY when the instance is not
                         confirmed as the job's home.  A task set follows:
                         those of the tasks that are stored as done
     REQUEST_SEARCH   a task set: [[job, step, index], ...]
                      -> a mm_search_result: [present, [upstream hash, ...],
                         [[job, step, index, how, run hash], ...]]
     NOTIFY_ENDED     the id of a job whose ends no home will request
     NOTIFY_ACKS      ends that are stored: [[job, step, index, run hash], ...]

   Ids and names are sent as plain bytes, not as msgpack.  */
#ifndef MM_KEPT_WIRE_H
#define MM_KEPT_WIRE_H

#include "mm_job_record.h"
#include "mm_kept_tasks.h"

#include <msgpack.h>

/* Kinds of messages; the values are sent.  */
typedef enum
{
  MM_KEPT_REQUEST_SUBMIT = 1,
  MM_KEPT_REQUEST_STATE = 2,
  MM_KEPT_REQUEST_CANCEL = 3,
  MM_KEPT_REQUEST_PENDING = 4,
  MM_KEPT_REQUEST_SEARCH = 5,
  MM_KEPT_NOTIFY_ACKS = 6,
  MM_KEPT_REQUEST_FOREIGN = 7,
  MM_KEPT_NOTIFY_ENDED = 8
} mm_kept_verb;

/* Result of a request; the values are sent.  */
typedef enum
{
  MM_KEPT_OK,
  MM_KEPT_NO_JOB, /* no such job is stored */
  MM_KEPT_BUSY,   /* the home is not reachable or refuses; nothing was done */
  MM_KEPT_IN_DOUBT, /* the request may have been executed: send it again */
  MM_KEPT_MOVING    /* this instance is not the home, or not ready yet; nothing
                       was done */
} mm_kept_status;
#define MM_KEPT_STATUS_COUNT (MM_KEPT_MOVING + 1)

/* Answer to a request of a caller or of another instance.  */
typedef struct
{
  mm_kept_status status;
  mm_job_phase phase;     /* MM_KEPT_OK, requests about one job */
  uint32_t pending;       /* MM_KEPT_OK, requests about a queue: its jobs that
                             have not started */
  uint32_t retry_after_s; /* MM_KEPT_BUSY: when to try again, 0: not given */
} mm_kept_answer;

void mm_kept_answer_pack (msgpack_sbuffer *b, const mm_kept_answer *a);
bool mm_kept_answer_read (const void *data, size_t len, mm_kept_answer *out);

/* A task set is a hash table whose keys are mm_task_id that it owns; free it
   with g_hash_table_destroy().  */
GHashTable *mm_task_set_new (void);
void mm_task_set_pack (msgpack_sbuffer *b, GHashTable *tasks);
/* Returns NULL when @data is not a valid set.  */
GHashTable *mm_task_set_read (const void *data, size_t len);

/* The data of a REQUEST_FOREIGN.  The reader returns the set of tasks, NULL
   when it is missing or not valid, and copies the job's id to @job_id, an
   array of MM_JOB_ID_MAX + 1.  */
void mm_foreign_request_pack (msgpack_sbuffer *b, const char *job_id,
                              GHashTable *tasks);
GHashTable *mm_foreign_request_read (const void *data, size_t len,
                                     char *job_id);
/* The answer to it.  The reader sets @stored to the set that follows the
   answer, or to NULL.  */
void mm_foreign_answer_pack (msgpack_sbuffer *b, const mm_kept_answer *a,
                             GHashTable *stored);
bool mm_foreign_answer_read (const void *data, size_t len, mm_kept_answer *out,
                             GHashTable **stored);

void mm_search_result_pack (msgpack_sbuffer *b,
                            const mm_search_result *result);
/* Adds the contents of @data to @out.  Returns false when @data is not valid;
   a part may have been added then.  */
bool mm_search_result_read (const void *data, size_t len,
                            mm_search_result *out);

/* The owner names in @acks are not packed.  */
void mm_end_acks_pack (msgpack_sbuffer *b, const mm_end_ack *acks,
                       size_t count);
/* Calls @acked for each acknowledged end.  @hash: mm_run_hash().  Returns
   false when @data is not valid; @acked was called for the ends before the
   first invalid one.  */
bool mm_end_acks_read (const void *data, size_t len,
                       void (*acked) (void *ctx, const mm_task_id *task,
                                      uint32_t hash),
                       void *ctx);

#endif /* MM_KEPT_WIRE_H */
