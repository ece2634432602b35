/* mm_rto: timeout of a call, computed from the times of earlier answers.

   The retransmission timeout of TCP (RFC 6298): the smoothed answer time plus
   four times its deviation, doubled after each call without an answer.  An
   answer that comes after its timeout proves the timeout spurious (as in
   Eifel, RFC 3522): the answer counts like any other, and the doubling is
   undone.  */
#ifndef MM_RTO_H
#define MM_RTO_H

#include "masticmill.h"

/* Answer times of one upstream.  */
typedef struct
{
  double mean_ms;      /* smoothed answer time, 0: no answer yet */
  double deviation_ms; /* smoothed deviation of the answer time */
  /* Upper bound of the timeout where this value is above MM_RTO_MAX_MS.  A
     late answer raises it, and faster answers lower it again.  */
  double max_timeout_ms;
  uint32_t doublings; /* consecutive calls without an answer */
} mm_rto;

/* Records how long an answer took that came in time.  */
void mm_rto_answered (mm_rto *r, mm_time_ms took_ms);
/* Records that a call got no answer in time.  */
void mm_rto_unanswered (mm_rto *r);
/* Records an answer that came after its timeout.  */
void mm_rto_late (mm_rto *r, mm_time_ms took_ms);
/* Returns the timeout of the next call.  */
mm_time_ms mm_rto_ms (const mm_rto *r);

/* Lower bound of the timeouts of all upstreams.  A delay of the answers of
   several upstreams has its cause on our side.  */
typedef struct
{
  const void *last_upstream; /* identifies that of the last late answer */
  mm_time_ms last_late_ms;   /* when that answer came */
  mm_time_ms min_timeout_ms; /* the lower bound, 0: none */
  mm_time_ms raised_ms;      /* when min_timeout_ms was last set */
} mm_rto_floor;

/* Records an answer of @upstream that came after its timeout, @took_ms after
   the call.  Raises the lower bound for a while when two upstreams answer late
   at about the same time.  */
void mm_rto_floor_late (mm_rto_floor *f, const void *upstream,
                        mm_time_ms took_ms, mm_time_ms now_ms);
/* Returns the lower bound, 0: none.  */
mm_time_ms mm_rto_floor_ms (const mm_rto_floor *f, mm_time_ms now_ms);

#endif /* MM_RTO_H */
