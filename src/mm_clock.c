/* mm_clock: monotonic and wall-clock time, in milliseconds.  */
#include "masticmill.h"

#include <time.h>

static mm_clock_source source; /* set by tests; NULL: the machine's clock */
static void *source_ctx;       /* argument of source */

/**
 * mm_clock_now_ms() - monotonic time, for deadlines and timeouts.
 *
 * Reads CLOCK_BOOTTIME, because CLOCK_MONOTONIC does not advance while the
 * machine is suspended: leases and deadlines would look valid here long after
 * they had expired at other instances.
 *
 * Return: milliseconds since an arbitrary start; never goes back.
 */
mm_time_ms
mm_clock_now_ms (void)
{
  if (source)
    return source (source_ctx);
  struct timespec ts;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (mm_time_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/**
 * mm_clock_wall_ms() - wall-clock time.
 *
 * Return: milliseconds since 1970 (CLOCK_REALTIME).  It is meant for logs and
 * records that people read, and must not be used for deadlines.
 */
mm_time_ms
mm_clock_wall_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (mm_time_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/**
 * mm_clock_set_source() - replace the source of monotonic time.
 * @now: returns the time in milliseconds; NULL restores the clock of the
 *     machine.
 * @ctx: passed to @now.
 *
 * Lets tests of timeouts and leases run without real delays.
 */
void
mm_clock_set_source (mm_clock_source now, void *ctx)
{
  source = now;
  source_ctx = ctx;
}
