/* mm_breaker: circuit breaker of an upstream.  */
#ifndef MM_BREAKER_H
#define MM_BREAKER_H

#include "masticmill.h"

/* The breaker of one upstream.  It is closed while excluded_until_ms is 0,
   open until that time, and half-open after it.  */
typedef struct
{
  uint32_t consecutive_failures; /* reset to 0 by a success */
  uint32_t doublings; /* how often MM_BREAKER_OPEN_MS is doubled when the
                         breaker opens next */
  mm_time_ms excluded_until_ms; /* open until this time, 0: closed */
  /* Open or half-open: no success since it opened.  */
  bool on_trial;
} mm_breaker;

/* Records the outcome of a run at the upstream.  @ok: false when the task
   failed or could not start.  */
void mm_breaker_record (mm_breaker *b, bool ok, mm_time_ms now_ms);
/* Returns whether another task may start while @running tasks run there. While
   the breaker is half-open, one task at a time may run.  */
bool mm_breaker_allows (mm_breaker *b, size_t running, mm_time_ms now_ms);

#endif /* MM_BREAKER_H */
