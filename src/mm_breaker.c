/* mm_breaker: consecutive failures open the circuit breaker of an upstream for
   a while.  After that time the breaker is half-open: the upstream runs one
   task at a time until a task succeeds.

   Guards against an upstream that reports itself healthy and fails each task
   at once: as it always has free capacity, it would attract all tasks.  */
#include "mm_breaker.h"

#include "config.h"

/**
 * mm_breaker_record() - record the outcome of a run at the upstream.
 * @b: the upstream's circuit breaker.
 * @ok: true when the task succeeded; false when it failed or could not start.
 * @now_ms: the current time.
 *
 * A failure while the breaker is half-open opens it again at once, for twice
 * as long as before, up to MM_BREAKER_MAX_DOUBLINGS doublings.
 */
void
mm_breaker_record (mm_breaker *b, bool ok, mm_time_ms now_ms)
{
  if (ok)
    {
      *b = (mm_breaker){ 0 };
      return;
    }
  b->consecutive_failures++;
  if (!b->on_trial && b->consecutive_failures < MM_BREAKER_FAILURES)
    return;
  b->excluded_until_ms = now_ms + (MM_BREAKER_OPEN_MS << b->doublings);
  if (b->doublings < MM_BREAKER_MAX_DOUBLINGS)
    b->doublings++;
  b->on_trial = true;
}

bool
mm_breaker_allows (mm_breaker *b, size_t running, mm_time_ms now_ms)
{
  if (!MM_WITH_TRUST)
    return true;
  if (now_ms < b->excluded_until_ms)
    return false;
  return !b->on_trial || running == 0;
}
