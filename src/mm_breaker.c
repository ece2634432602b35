/* mm_breaker: consecutive failures open the circuit breaker of an upstream for
   a while.  After that time the breaker is half-open: one task runs there at a
   time until one succeeds.

   Guards against an upstream that reports itself healthy and fails each task
   at once: as it always has free capacity, it would attract all tasks.  */
#include "mm_breaker.h"

#include "config.h"

/**
 * mm_breaker_record() - record the outcome of a run.
 * @t: the upstream's circuit breaker.
 * @ok: true when the task succeeded; false when it failed or could not start.
 * @now_ms: the current time.
 */
void
mm_breaker_record (mm_breaker *t, bool ok, mm_time_ms now_ms)
{
  if (ok)
    {
      *t = (mm_breaker){ 0 };
      return;
    }
  t->consecutive_failures++;
  if (!t->on_trial && t->consecutive_failures < MM_BREAKER_FAILURES)
    return;
  t->excluded_until_ms = now_ms + (MM_BREAKER_OPEN_MS << t->doublings);
  if (t->doublings < MM_BREAKER_MAX_DOUBLINGS)
    t->doublings++;
  t->on_trial = true;
}

bool
mm_breaker_allows (mm_breaker *t, size_t running, mm_time_ms now_ms)
{
  if (!MM_WITH_TRUST)
    return true;
  if (now_ms < t->excluded_until_ms)
    return false;
  return !t->on_trial || running == 0;
}
