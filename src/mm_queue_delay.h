/* mm_queue_delay: estimates how long a message of a peer was delayed by
   queues.

   The clocks of two instances differ by an unknown offset, so the difference
   between the times of receipt and of sending is not the delay itself.  But
   the smallest recent difference is taken for that of an empty link, and the
   part of a difference that exceeds the smallest for time in queues.  After a
   peer has stalled, its messages seem delayed until the smaller differences
   from before the stall leave the window, and until then the updates of that
   peer count as older than they are.  */
#ifndef MM_QUEUE_DELAY_H
#define MM_QUEUE_DELAY_H

#include "masticmill.h"

/* State for the messages of one sender; zero-initialised.  A window lasts
   MM_QUEUE_DELAY_WINDOW_MS.  */
typedef struct
{
  bool initialised;           /* a message was recorded */
  mm_time_ms window_start_ms; /* start of the current window */
  /* Smallest difference between the times of receipt and sending, in the
     current and in the previous window.  */
  mm_time_ms min_ms[2];
} mm_queue_delay;

/* Records a message that was sent at @sent_ms by the sender's clock and
   received at @now_ms by this instance's clock.  Returns its queueing
   delay.  */
mm_time_ms mm_queue_delay_record_ms (mm_queue_delay *delay, mm_time_ms sent_ms,
                                     mm_time_ms now_ms);

#endif /* MM_QUEUE_DELAY_H */
