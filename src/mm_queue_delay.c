/* mm_queue_delay: estimates the queueing delay of messages.  */
#include "mm_queue_delay.h"

#include "config.h"

/**
 * mm_queue_delay_record_ms() - record a message and get its queueing delay.
 * @delay: the state for the messages of this sender; zero-initialised.
 * @sent_ms: when the message was sent, by the sender's clock.
 * @now_ms: when the message was received, by this instance's clock.
 *
 * Return: how much longer the message took than the fastest recent message of
 * the same sender, in ms.
 */
mm_time_ms
mm_queue_delay_record_ms (mm_queue_delay *delay, mm_time_ms sent_ms,
                          mm_time_ms now_ms)
{
  mm_time_ms difference_ms = now_ms - sent_ms;
  if (!delay->initialised)
    *delay = (mm_queue_delay){ .initialised = true,
                               .window_start_ms = now_ms,
                               .min_ms = { difference_ms, difference_ms } };
  else if (now_ms - delay->window_start_ms >= MM_QUEUE_DELAY_WINDOW_MS)
    {
      delay->window_start_ms = now_ms;
      delay->min_ms[1] = delay->min_ms[0];
      delay->min_ms[0] = difference_ms;
    }
  delay->min_ms[0] = MIN (delay->min_ms[0], difference_ms);
  return difference_ms - MIN (delay->min_ms[0], delay->min_ms[1]);
}
