/* mm_trust: whether an upstream that looks healthy runs tasks well.  */
#ifndef MM_TRUST_H
#define MM_TRUST_H

#include "masticmill.h"

typedef struct
{
  uint32_t failures_in_row;
  uint32_t doublings;        /* of the next exclusion */
  mm_time_ms excluded_until; /* 0: trusted */
  bool on_trial;             /* one task at a time */
} mm_trust;

void mm_trust_note (mm_trust *t, bool ok, mm_time_ms now_ms); /* a run ended */
/* May it take another task, with @running there now?  */
bool mm_trust_allows (mm_trust *t, size_t running, mm_time_ms now_ms);

#endif /* MM_TRUST_H */
