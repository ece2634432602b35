/* mm_handover_plan: decides when upstreams that are being handed over are
   released.  */
#ifndef MM_HANDOVER_PLAN_H
#define MM_HANDOVER_PLAN_H

#include "masticmill.h"

/* What a handover does next.  */
typedef enum
{
  /* Waits for the runs; only tasks that end before them are started.  */
  MM_HANDOVER_WAIT_RUNS,
  /* Waits for links, or for an answer of the store without which nothing can
     be released; tasks are started as before.  */
  MM_HANDOVER_WAIT_LINKS,
  /* Waits for the answers to starts; no task is started.  */
  MM_HANDOVER_WAIT_STARTS,
  MM_HANDOVER_RELEASE /* the upstreams are released; no task is started */
} mm_handover_step;

/* State of a handover of all upstreams of a data centre that are released
   together.  */
typedef struct
{
  bool transfer_runs;   /* the setting: runs may go on under the next owner */
  uint32_t busy;        /* upstreams on which something runs */
  mm_time_ms store_ms;  /* duration of the last join, or of the one that is not
                           answered yet; -1: the last one failed */
  bool store_busy;      /* a call to the store is under way */
  mm_time_ms waited_ms; /* time since the handover began */
  uint32_t unlinked;    /* instances that may be the next owner, to which this
                           one has no link */
  uint32_t candidates;  /* linked instances that may be the next owner */
  /* Sums over the upstreams.  */
  uint32_t runs;         /* runs that use capacity */
  uint32_t open_starts;  /* of these: starts that are not answered yet */
  uint32_t in_doubt;     /* of these: starts that got no answer */
  uint32_t foreign;      /* of these: runs of an earlier owner, not adopted */
  uint32_t kept;         /* of these: runs of kept jobs */
  uint32_t unresponsive; /* busy upstreams whose last hold got no answer */
} mm_handover_facts;

mm_handover_step mm_handover_plan (const mm_handover_facts *f);
const char *mm_handover_step_name (mm_handover_step step); /* for logs */

#endif /* MM_HANDOVER_PLAN_H */
