/* mm_trust: circuit breaker of an upstream.  */
#ifndef MM_TRUST_H
#define MM_TRUST_H

#include "masticmill.h"

/* Closed while excluded_until is 0, open until that time, half-open after.  */
typedef struct
{
  uint32_t failures_in_row;  /* consecutive failures */
  uint32_t doublings;        /* of the time for which it opens next */
  mm_time_ms excluded_until; /* open until this time, 0: closed */
  bool on_trial;             /* half-open: one task at a time */
} mm_trust;

void mm_trust_note (mm_trust *t, bool ok, mm_time_ms now_ms);
/* Returns whether another task may start while @running tasks run there.  */
bool mm_trust_allows (mm_trust *t, size_t running, mm_time_ms now_ms);

#endif /* MM_TRUST_H */
