/* mm_trust: failures in a row exclude an upstream for a while, then one
   task at a time is its trial.

   Answers the load of an upstream that fails all it starts at once while
   its reports are good: free at all times, it would draw every task.  */
#include "mm_trust.h"

#include "config.h"

/**
 * mm_trust_note() - take note of a run's end.
 * @t: the upstream's trust.
 * @ok: it ran to its end; false when it failed or could not start.
 * @now_ms: the clock.
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
