/* mm_transit: see the header.  */
#include "mm_transit.h"

#include "config.h"

/**
 * mm_transit_held_up_ms() - note a message.
 * @t: of its sender; zero at first.
 * @sent_ms: when it was sent, by the sender's clock.
 * @now_ms: by ours.
 *
 * Return: how much longer it took than the fastest one lately.
 */
mm_time_ms
mm_transit_held_up_ms (mm_transit *t, mm_time_ms sent_ms, mm_time_ms now_ms)
{
  mm_time_ms difference_ms = now_ms - sent_ms;
  if (!t->known)
    *t = (mm_transit){ .known = true,
                       .began_ms = now_ms,
                       .least_ms = { difference_ms, difference_ms } };
  else if (now_ms - t->began_ms >= MM_TRANSIT_WINDOW_MS)
    {
      t->began_ms = now_ms;
      t->least_ms[1] = t->least_ms[0];
      t->least_ms[0] = difference_ms;
    }
  t->least_ms[0] = MIN (t->least_ms[0], difference_ms);
  return difference_ms - MIN (t->least_ms[0], t->least_ms[1]);
}
