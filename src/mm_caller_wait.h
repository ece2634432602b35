/* mm_caller_wait: detects callers that have already waited elsewhere.  */
#ifndef MM_CALLER_WAIT_H
#define MM_CALLER_WAIT_H

#include "masticmill.h"

/* How long the callers of one queue wait.  */
typedef struct
{
  /* Average time for which callers wait after the last moment at which an
     answer is of use to them.  */
  double average_spare_ms;
  bool seen; /* at least one caller was recorded */
} mm_caller_wait;

/* Records a caller of the queue that waits for @caller_timeout_ms from now on.
   Returns true if it has sent the job before, so long ago that an answer, of
   use until @useful_ms after its first request, is of no use any more.  */
bool mm_caller_wait_is_too_late (mm_caller_wait *callers,
                                 mm_time_ms caller_timeout_ms,
                                 mm_time_ms useful_ms);

#endif /* MM_CALLER_WAIT_H */
