/* mm_queue_delay: estimates how long a message of a peer was delayed by
   queues.

   The clocks of two instances differ by an unknown offset.  The smallest
   recent difference between the times of receipt and sending is taken for an
   empty link, and whatever exceeds the smallest difference for time in queues.
   After a peer has stalled, its messages seem delayed until the older
   differences leave the window, and its updates count as older than they
   are.  */
#ifndef MM_QUEUE_DELAY_H
#define MM_QUEUE_DELAY_H

#include "masticmill.h"

typedef struct
{
  bool initialised;
  mm_time_ms window_start_ms; /* start of the current window */
  mm_time_ms min_ms[2]; /* minimum of the current, of the previous window */
} mm_queue_delay;

/* Records a message that was sent at @sent_ms by the sender's clock and
   received at @now_ms by this instance's.  Returns how much longer it took
   than the fastest recent one.  */
mm_time_ms mm_queue_delay_record_ms (mm_queue_delay *t, mm_time_ms sent_ms,
                                     mm_time_ms now_ms);

#endif /* MM_QUEUE_DELAY_H */
