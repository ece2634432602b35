/* mm_uplink: estimates the backlog on this instance's own network link.

   Used to extend the timeouts of calls.  On a link of low bandwidth, the start
   calls of one job of many tasks alone take longer to send than an answer
   typically takes, so that calls would count as unanswered while they are
   still queued on this instance.  */
#ifndef MM_UPLINK_H
#define MM_UPLINK_H

#include "masticmill.h"

/* The link, and how long it takes to send what is queued there.  */
typedef struct
{
  double bits_per_ms;   /* bandwidth of the link, 0: no limit */
  double busy_until_ms; /* mm_clock_now_ms() at which the backlog is sent */
} mm_uplink;

/* Records that @bytes were sent: the backlog grows by them.  */
void mm_uplink_record_sent (mm_uplink *u, size_t bytes, mm_time_ms now_ms);
/* Returns the time until the link has carried the whole backlog.  */
mm_time_ms mm_uplink_backlog_ms (const mm_uplink *u, mm_time_ms now_ms);

#endif /* MM_UPLINK_H */
