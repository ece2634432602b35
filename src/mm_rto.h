/* mm_rto: how long to wait for an answer, from the answers seen so far.

   The retransmission timeout of TCP (RFC 6298): the smoothed time of an
   answer and four times its deviation, doubled after each call without one. */
#ifndef MM_RTO_H
#define MM_RTO_H

#include "masticmill.h"

typedef struct
{
  double mean_ms; /* smoothed time of an answer, 0: none was seen */
  double deviation_ms;
  uint32_t doublings; /* calls in a row without an answer */
} mm_rto;

void mm_rto_answered (mm_rto *r, mm_time_ms took_ms);
void mm_rto_unanswered (mm_rto *r);
mm_time_ms mm_rto_ms (const mm_rto *r); /* wait so long for the next answer */

#endif /* MM_RTO_H */
