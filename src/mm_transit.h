/* mm_transit: how much longer than usual a message of a peer was under way.

   The clocks of two instances differ by an unknown offset.  The least
   difference between receipt and sending that was seen lately stands for an
   empty link; what is beyond it was spent in queues.  A peer that stood still
   looks held up until that is forgotten: its updates then count as older than
   they are.  */
#ifndef MM_TRANSIT_H
#define MM_TRANSIT_H

#include "masticmill.h"

typedef struct
{
  bool known;
  mm_time_ms began_ms;    /* of the window that least_ms[0] is of */
  mm_time_ms least_ms[2]; /* differences: in this window, in the last one */
} mm_transit;

mm_time_ms mm_transit_held_up_ms (mm_transit *t, mm_time_ms sent_ms,
                                  mm_time_ms now_ms);

#endif /* MM_TRANSIT_H */
