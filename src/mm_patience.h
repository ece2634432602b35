/* mm_patience: callers that have waited elsewhere before they came here.  */
#ifndef MM_PATIENCE_H
#define MM_PATIENCE_H

#include "masticmill.h"

/* What the callers of one queue tell of how long they wait.  */
typedef struct
{
  double usual_ms; /* beyond the last moment at which an answer is of use */
  bool seen;
} mm_patience;

/* A caller waits for @patience_ms from now on; an answer is of use to it up to
   @useful_ms after it first asked.  Return: whether that is over already.  */
bool mm_patience_is_over (mm_patience *p, mm_time_ms patience_ms,
                          mm_time_ms useful_ms);

#endif /* MM_PATIENCE_H */
