/* mm_caller_wait: detects from a caller's remaining timeout that it has
   already waited elsewhere.

   Protects against the load after an outage: callers whose connections broke
   send their jobs again 1.3 s later, all within a second.  For short jobs
   among them an answer is of no use any more.  These jobs would use the
   capacity that callers who send a job for the first time need to be answered
   in time.

   A request does not state that it was sent before, but its caller's
   remaining timeout shows it: the time to spare is less than half of the
   average of that queue's callers.  Half is midway between callers with their
   full timeout and callers whose time to spare is used up.  */
#include "mm_caller_wait.h"

#include "config.h"

/**
 * mm_caller_wait_is_too_late() - record a caller and judge its timeout.
 * @callers: record of the callers of the same queue.
 * @caller_timeout_ms: how long this caller waits from now on.
 * @useful_ms: how long after its first request an answer is of use to it.
 *
 * Return: true if the caller has sent the job before, so long ago that an
 * answer is of no use to it any more.
 */
bool
mm_caller_wait_is_too_late (mm_caller_wait *callers,
                            mm_time_ms caller_timeout_ms, mm_time_ms useful_ms)
{
  double spare_ms = (double)(caller_timeout_ms - useful_ms);
  if (!callers->seen)
    callers->average_spare_ms = spare_ms;
  callers->seen = true;
  bool resent = spare_ms < callers->average_spare_ms / 2;
  callers->average_spare_ms
      += MM_CALLER_WAIT_GAIN * (spare_ms - callers->average_spare_ms);
  /* The caller sent the job again MM_RESEND_MS after its connection broke.  An
     answer that is of use for longer than that is still of use now.  */
  return resent && useful_ms < MM_RESEND_MS;
}
