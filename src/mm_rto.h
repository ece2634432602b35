/* mm_rto: how long to wait for an answer, from the answers seen so far.

   The retransmission timeout of TCP (RFC 6298): the smoothed time of an
   answer and four times its deviation, doubled after each call without one.
   An answer that comes after its timeout proves that spurious (as in Eifel,
   RFC 3522): it counts like any other, and the doubling is taken back.  */
#ifndef MM_RTO_H
#define MM_RTO_H

#include "masticmill.h"

typedef struct
{
  double mean_ms; /* smoothed time of an answer, 0: none was seen */
  double deviation_ms;
  double most_ms;     /* the timeout may be, beyond MM_RTO_MAX_MS */
  uint32_t doublings; /* calls in a row without an answer */
} mm_rto;

void mm_rto_answered (mm_rto *r, mm_time_ms took_ms);
void mm_rto_unanswered (mm_rto *r);
void mm_rto_late (mm_rto *r, mm_time_ms took_ms); /* after its timeout */
mm_time_ms mm_rto_ms (const mm_rto *r); /* wait so long for the next answer */

/* What holds up the answers of several upstreams lies on our side.  */
typedef struct
{
  const void *last; /* whose answer was late */
  mm_time_ms last_ms;
  mm_time_ms least_ms;  /* timeouts were raised to this ... */
  mm_time_ms raised_ms; /* at this time */
} mm_rto_floor;

void mm_rto_floor_late (mm_rto_floor *f, const void *upstream,
                        mm_time_ms took_ms, mm_time_ms now_ms);
mm_time_ms mm_rto_floor_ms (const mm_rto_floor *f, mm_time_ms now_ms);

#endif /* MM_RTO_H */
