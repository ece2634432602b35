/* mm_clock: the one clock type of masticmill, in milliseconds.  */
#include "masticmill.h"

#include <time.h>

static mm_clock_source source;
static void *source_ctx;

/**
 * mm_clock_now_ms() - monotonic time.
 *
 * CLOCK_BOOTTIME, as CLOCK_MONOTONIC stands still while the machine is
 * suspended: leases and deadlines would look valid long after others saw
 * them expire.
 *
 * Return: milliseconds since an arbitrary start; never goes back, so it is
 * the clock for deadlines and timeouts.
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
 * Return: milliseconds since 1970 (CLOCK_REALTIME); for logs and records
 * read by people, never for deadlines.
 */
mm_time_ms
mm_clock_wall_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (mm_time_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/**
 * mm_clock_set_source() - take monotonic time from somewhere else.
 * @now: returns it, or NULL for the machine's own.
 * @ctx: for @now.
 *
 * For tests of time-outs and leases that must not take real time.
 */
void
mm_clock_set_source (mm_clock_source now, void *ctx)
{
  source = now;
  source_ctx = ctx;
}
