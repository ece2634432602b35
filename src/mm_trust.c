/* mm_trust: consecutive failures open the circuit breaker of an upstream for
   a while.  After that it is half-open: one task runs there at a time until
   one succeeds.

   Guards against an upstream that reports itself healthy and fails each task
   at once: as it always has free capacity, it would attract all tasks.  */
#include "mm_trust.h"

#include "config.h"

/**
 * mm_trust_note() - record the outcome of a run.
 * @t: the upstream's circuit breaker.
 * @ok: true when the task succeeded; false when it failed or could not start.
 * @now_ms: the current time.
 */
void
mm_trust_note (mm_trust *t, bool ok, mm_time_ms now_ms)
{
  if (ok)
    {
      *t = (mm_trust){ 0 };
      return;
    }
  t->failures_in_row++;
  if (!t->on_trial && t->failures_in_row < MM_TRUST_FAILURES)
    return;
  t->excluded_until = now_ms + (MM_TRUST_EXCLUDE_MS << t->doublings);
  if (t->doublings < MM_TRUST_MAX_DOUBLINGS)
    t->doublings++;
  t->on_trial = true;
}

bool
mm_trust_allows (mm_trust *t, size_t running, mm_time_ms now_ms)
{
  if (!MM_WITH_TRUST)
    return true;
  if (now_ms < t->excluded_until)
    return false;
  return !t->on_trial || running == 0;
}
