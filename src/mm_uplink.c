/* mm_uplink: estimates the backlog on this instance's own network link.  */
#include "mm_uplink.h"

#include <math.h>

void
mm_uplink_record_sent (mm_uplink *u, size_t bytes, mm_time_ms now_ms)
{
  if (u->bits_per_ms <= 0)
    return;
  u->busy_until_ms = MAX (u->busy_until_ms, (double)now_ms)
                     + (double)bytes * 8 / u->bits_per_ms;
}

mm_time_ms
mm_uplink_backlog_ms (const mm_uplink *u, mm_time_ms now_ms)
{
  return (mm_time_ms)ceil (MAX (u->busy_until_ms - (double)now_ms, 0));
}
