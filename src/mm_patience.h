/* mm_caller_wait: detects callers that have already waited elsewhere.  */
#ifndef MM_PATIENCE_H
#define MM_PATIENCE_H

#include "masticmill.h"

/* How long the callers of one queue wait.  */
typedef struct
{
  /* Average time for which callers wait after the last moment at which an
     answer is of use to them.  */
  double average_spare_ms;
  bool seen; /* at least one caller was recorded */
} mm_patience;

/* Records a caller that waits for @patience_ms from now on; an answer is of
   use to it until @useful_ms after its first request.  Returns whether that
   time has passed already.  */
bool mm_patience_is_over (mm_patience *callers, mm_time_ms patience_ms,
                          mm_time_ms useful_ms);

#endif /* MM_PATIENCE_H */
