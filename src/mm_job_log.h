/* mm_job_log: one partition of kept jobs in the store, written by its home.

   Opening the log first announces the home's epoch, so that the store refuses
   records of all earlier homes, and then reads the stored records.  */
#ifndef MM_JOB_LOG_H
#define MM_JOB_LOG_H

#include "mm_store.h"

typedef struct mm_job_log mm_job_log;

/* Callbacks to the home.  */
typedef struct
{
  /* A stored record was read; @r is valid only during the call.  */
  void (*record) (void *ctx, const mm_record *r);
  /* All stored records have been read: records can be written from now on.  */
  void (*opened) (void *ctx);
  /* Another home has the partition; nothing more is written.  */
  void (*fenced) (void *ctx);
  void *ctx;
} mm_job_log_events;

/* @ok: the record is stored; false: whether it is stored is not known.  */
typedef void (*mm_job_log_done) (void *ctx, bool ok);

/* Becomes the writer of a partition.  @epoch: higher than the epoch of any
   earlier writer.  @port and @ev are copied.  */
mm_job_log *mm_job_log_open (const mm_store_port *port, uint32_t partition,
                             uint64_t epoch, const mm_job_log_events *ev);
/* Calls the outstanding @done callbacks with false.  */
void mm_job_log_close (mm_job_log *l);
/* Queues a record under @key, a job id.  Takes @value; NULL drops the key.
   @done may be NULL.  */
void mm_job_log_put (mm_job_log *l, const char *key, GBytes *value,
                     mm_job_log_done done, void *ctx);
/* Queues a record that changes no job.  Once it is stored, no other home has
   written to the partition before.  */
void mm_job_log_check (mm_job_log *l, mm_job_log_done done, void *ctx);
void mm_job_log_tick (mm_job_log *l); /* each MM_EXEC_TICK_MS */
/* Whether the store answers, or has failed for less than
   MM_JOB_LOG_CONTACT_GRACE_MS.  */
bool mm_job_log_in_contact (const mm_job_log *l);
bool mm_job_log_idle (const mm_job_log *l); /* no record waits to be stored */

#endif /* MM_JOB_LOG_H */
