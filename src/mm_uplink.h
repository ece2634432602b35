/* mm_uplink: what our own link has still to carry of what we sent.

   Answers the load of jobs of many tasks on a thin link: the orders of one job
   alone take longer to go out than answers usually take, and would count as
   unanswered while they still stand in our own queue.  */
#ifndef MM_UPLINK_H
#define MM_UPLINK_H

#include "masticmill.h"

typedef struct
{
  double bits_per_ms; /* 0: no limit */
  double busy_until_ms;
} mm_uplink;

void mm_uplink_sent (mm_uplink *u, size_t bytes, mm_time_ms now_ms);
/* Until the last of what was sent has gone out.  */
mm_time_ms mm_uplink_backlog_ms (const mm_uplink *u, mm_time_ms now_ms);

#endif /* MM_UPLINK_H */
