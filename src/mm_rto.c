/* mm_rto: wait for an answer as long as answers usually take.

   Answers the load of orders that get no answer: each such order holds its
   task up, and its room, for the whole timeout.  A job of eight tasks with
   80 ms to spare is late if one of them waits for 100 ms; answers take 2 ms.
   Doubling guards against a timeout under the true time of an answer, which
   would let no answer through that could correct it.  */
#include "mm_rto.h"

#include "config.h"

#include <math.h>

/* Weights of one answer, from RFC 6298.  */
#define MEAN_GAIN 0.125
#define DEVIATION_GAIN 0.25
#define DEVIATIONS 4.0

void
mm_rto_answered (mm_rto *r, mm_time_ms took_ms)
{
  double took = (double)MAX (took_ms, 1);
  r->doublings = 0;
  if (r->mean_ms <= 0)
    {
      r->mean_ms = took;
      r->deviation_ms = took / 2;
      return;
    }
  r->deviation_ms
      += DEVIATION_GAIN * (fabs (took - r->mean_ms) - r->deviation_ms);
  r->mean_ms += MEAN_GAIN * (took - r->mean_ms);
}

void
mm_rto_unanswered (mm_rto *r)
{
  r->doublings++;
}

/**
 * mm_rto_ms() - the timeout of the next call.
 * @r: what was seen.
 *
 * Return: between MM_RTO_MIN_MS and MM_RTO_MAX_MS, the latter until an
 * answer was seen.
 */
mm_time_ms
mm_rto_ms (const mm_rto *r)
{
  if (r->mean_ms <= 0 || !MM_WITH_RTO)
    return MM_RTO_MAX_MS;
  double rto_ms = r->mean_ms + DEVIATIONS * r->deviation_ms;
  rto_ms = ldexp (MAX (rto_ms, MM_RTO_MIN_MS), (int)MIN (r->doublings, 8));
  return (mm_time_ms)MIN (ceil (rto_ms), MM_RTO_MAX_MS);
}
