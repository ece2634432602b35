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
#define LATE_MARGIN 1.25

void
mm_rto_answered (mm_rto *r, mm_time_ms took_ms)
{
  double took = (double)MAX (took_ms, 1);
  r->doublings = 0;
  r->most_ms -= DEVIATION_GAIN * MAX (r->most_ms - took, 0);
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
  r->most_ms = MAX (r->most_ms, LATE_MARGIN * (double)took_ms);
}

/**
 * mm_rto_ms() - the timeout of the next call.
 * @r: what was seen.
 *
 * Return: between MM_RTO_MIN_MS and MM_RTO_MAX_MS, the latter until an
 * answer was seen; up to MM_RTO_LATE_MAX_MS after late answers.
 */
mm_time_ms
mm_rto_ms (const mm_rto *r)
{
  if (r->mean_ms <= 0 || !MM_WITH_RTO)
    return MM_RTO_MAX_MS;
  double rto_ms = r->mean_ms + DEVIATIONS * r->deviation_ms;
  rto_ms = ldexp (MAX (rto_ms, MM_RTO_MIN_MS), (int)MIN (r->doublings, 8));
  double most_ms = CLAMP (r->most_ms, MM_RTO_MAX_MS, MM_RTO_LATE_MAX_MS);
  return (mm_time_ms)MIN (ceil (rto_ms), most_ms);
}

/**
 * mm_rto_floor_late() - an answer came after its timeout.
 * @f: what was seen of all upstreams.
 * @upstream: whose.
 * @took_ms: its time.
 * @now_ms: the clock.
 *
 * One upstream may be slow.  Two of them at about the same time tell of what
 * they share, our link or our processor: then no timeout is shorter than what
 * answers took, for some seconds.
 */
void
mm_rto_floor_late (mm_rto_floor *f, const void *upstream, mm_time_ms took_ms,
                   mm_time_ms now_ms)
{
  bool shared = f->last && f->last != upstream
                && now_ms - f->last_ms < MM_RTO_SHARED_MS;
  f->last = upstream;
  f->last_ms = now_ms;
  double least_ms = MIN (LATE_MARGIN * (double)took_ms, MM_RTO_LATE_MAX_MS);
  if (!shared || least_ms < (double)mm_rto_floor_ms (f, now_ms))
    return;
  f->least_ms = (mm_time_ms)least_ms;
  f->raised_ms = now_ms;
}

mm_time_ms
mm_rto_floor_ms (const mm_rto_floor *f, mm_time_ms now_ms)
{
  bool holds = f->least_ms && now_ms - f->raised_ms < MM_RTO_FLOOR_MS;
  return holds && MM_WITH_RTO ? f->least_ms : 0;
}
