/* mm_patience: what a caller's remaining patience says of its past.

   Answers the load of the herd after an outage: callers whose connections
   broke come again 1.3 s later, all within a second.  Answers to short jobs
   among them are of no use any more, and they take the room of those who ask
   for the first time and can still be in time.  Nothing in a request says that
   it was sent before, but how long its caller still waits: less than half of
   what callers of that queue usually have to spare.  The half lies in the
   middle between those who have their whole patience and those who have used
   up what they had to spare.  */
#include "mm_patience.h"

#include "config.h"

/**
 * mm_patience_is_over() - take note of a caller, and judge it.
 * @p: what its queue's callers told before.
 * @patience_ms: how long this one still waits.
 * @useful_ms: an answer is of use to it so long after it first asked.
 *
 * Return: true when it has asked before, so long ago that an answer is of no
 * use to it any more.
 */
bool
mm_patience_is_over (mm_patience *p, mm_time_ms patience_ms,
                     mm_time_ms useful_ms)
{
  double spare_ms = (double)(patience_ms - useful_ms);
  if (!p->seen)
    p->usual_ms = spare_ms;
  p->seen = true;
  bool again = spare_ms < p->usual_ms / 2;
  p->usual_ms += MM_PATIENCE_GAIN * (spare_ms - p->usual_ms);
  return again && useful_ms < MM_RESEND_MS;
}
