/* mm_rto: adaptive timeouts of calls to upstreams.

   An order without an answer delays its task, and occupies capacity, for the
   whole timeout.  A job of eight tasks with 80 ms to spare is late if one of
   them waits for 100 ms, while answers take 2 ms.

   The timeout doubles after each call without an answer.  Otherwise a timeout
   shorter than the true answer time would never be corrected, as no answer
   would arrive in time.  */
#include "mm_rto.h"

#include "config.h"

#include <math.h>

/* Constants of RFC 6298: weights of one answer in the mean and the deviation,
   and how many deviations a timeout adds to the mean.  */
#define MEAN_GAIN 0.125
#define DEVIATION_GAIN 0.25
#define DEVIATIONS 4.0
#define LATE_MARGIN 1.25 /* timeout after a late answer / its time */

void
mm_rto_answered (mm_rto *r, mm_time_ms took_ms)
{
  double took = (double)MAX (took_ms, 1);
  r->doublings = 0;
  r->max_timeout_ms -= DEVIATION_GAIN * MAX (r->max_timeout_ms - took, 0);
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

void
mm_rto_late (mm_rto *r, mm_time_ms took_ms)
{
  mm_rto_answered (r, took_ms);
  r->max_timeout_ms = MAX (r->max_timeout_ms, LATE_MARGIN * (double)took_ms);
}

/**
 * mm_rto_ms() - compute the timeout of the next call.
 * @r: answer times of the upstream.
 *
 * Return: between MM_RTO_MIN_MS and MM_RTO_MAX_MS; MM_RTO_MAX_MS before the
 * first answer; up to MM_RTO_LATE_MAX_MS after late answers.
 */
mm_time_ms
mm_rto_ms (const mm_rto *r)
{
  if (r->mean_ms <= 0 || !MM_WITH_RTO)
    return MM_RTO_MAX_MS;
  double rto_ms = r->mean_ms + DEVIATIONS * r->deviation_ms;
  /* Eight doublings exceed every upper bound.  */
  rto_ms = ldexp (MAX (rto_ms, MM_RTO_MIN_MS), (int)MIN (r->doublings, 8));
  double max_timeout_ms
      = CLAMP (r->max_timeout_ms, MM_RTO_MAX_MS, MM_RTO_LATE_MAX_MS);
  return (mm_time_ms)MIN (ceil (rto_ms), max_timeout_ms);
}

/**
 * mm_rto_floor_late() - record an answer that came after its timeout.
 * @f: the lower bound of the timeouts of all upstreams.
 * @upstream: identifies the upstream that answered.
 * @took_ms: time between the call and the answer.
 * @now_ms: the current time.
 *
 * One late answer may be due to a slow upstream.  Late answers of two
 * upstreams within MM_RTO_COMMON_CAUSE_MS have a cause that both share, such
 * as our link or our processor.  For MM_RTO_FLOOR_TTL_MS every timeout is then
 * at least LATE_MARGIN times @took_ms, capped at MM_RTO_LATE_MAX_MS.
 */
void
mm_rto_floor_late (mm_rto_floor *f, const void *upstream, mm_time_ms took_ms,
                   mm_time_ms now_ms)
{
  bool common_cause = f->last_upstream && f->last_upstream != upstream
                      && now_ms - f->last_late_ms < MM_RTO_COMMON_CAUSE_MS;
  f->last_upstream = upstream;
  f->last_late_ms = now_ms;
  double min_timeout_ms
      = MIN (LATE_MARGIN * (double)took_ms, MM_RTO_LATE_MAX_MS);
  if (!common_cause || min_timeout_ms < (double)mm_rto_floor_ms (f, now_ms))
    return;
  f->min_timeout_ms = (mm_time_ms)min_timeout_ms;
  f->raised_ms = now_ms;
}

mm_time_ms
mm_rto_floor_ms (const mm_rto_floor *f, mm_time_ms now_ms)
{
  bool in_force
      = f->min_timeout_ms && now_ms - f->raised_ms < MM_RTO_FLOOR_TTL_MS;
  return in_force && MM_WITH_RTO ? f->min_timeout_ms : 0;
}
