/* mm_job_log: one partition of kept jobs in the store, written by its home.

   Opening it makes the home's epoch known first, so that whoever wrote
   there before is refused, and then reads what is there.  */
#ifndef MM_JOB_LOG_H
#define MM_JOB_LOG_H

#include "mm_store.h"

typedef struct mm_job_log mm_job_log;

typedef struct
{
  void (*record) (void *ctx, const mm_record *r); /* one that is there */
  void (*opened) (void *ctx);                     /* all of them were read */
  void (*fenced) (void *ctx); /* another home has it: nothing is written */
  void *ctx;
} mm_job_log_events;

/* @ok: it is stored.  False: it may be, or not.  */
typedef void (*mm_job_log_done) (void *ctx, bool ok);

mm_job_log *mm_job_log_open (const mm_store_port *port, uint32_t part,
                             uint64_t epoch, const mm_job_log_events *ev);
void mm_job_log_close (mm_job_log *l); /* open @done calls get false */
/* Takes @value; NULL drops the key.  @done may be NULL.  */
void mm_job_log_put (mm_job_log *l, const char *key, GBytes *value,
                     mm_job_log_done done, void *ctx);
void mm_job_log_tick (mm_job_log *l);           /* each MM_EXEC_TICK_MS */
bool mm_job_log_in_touch (const mm_job_log *l); /* the store answers */
bool mm_job_log_idle (const mm_job_log *l);     /* nothing left to write */

#endif /* MM_JOB_LOG_H */
