/* mm_overload: start rate and least queueing delay of each service and
   priority at an owner, over the last MM_OVERLOAD_WINDOW_MS.

   The least delay shows whether there is a standing queue: during a short
   burst, some tasks of the window still start without a wait.  */
#ifndef MM_OVERLOAD_H
#define MM_OVERLOAD_H

#include "mm_owner.h"

/* For mm_overload_record_start(): the delay of the task is not known.  */
#define MM_OVERLOAD_WAIT_UNKNOWN (-1)

typedef struct mm_overload mm_overload;

mm_overload *mm_overload_create (void); /* free with mm_overload_destroy() */
void mm_overload_destroy (mm_overload *o);
/* Records the start of a task that waited for @wait_ms since it was ready.  */
void mm_overload_record_start (mm_overload *o, const char *service,
                               uint32_t priority, mm_time_ms wait_ms,
                               mm_time_ms now);
/* Sets the start rates and least waits in @r, the report on a service.
   @oldest_wait_ms: of each priority, how long the longest waiting task has
   waited, 0: none waits.  */
void mm_overload_fill_report (const mm_overload *o, const char *service,
                              const mm_time_ms *oldest_wait_ms, mm_time_ms now,
                              mm_capacity_report *r);

#endif /* MM_OVERLOAD_H */
