/* mm_overload_figures: what the owners report of the starts and waits of one
   priority of a service, summed up at a home.  */
#ifndef MM_OVERLOAD_FIGURES_H
#define MM_OVERLOAD_FIGURES_H

#include "mm_owner.h"

/* Sums over owners; zero-initialised.  */
typedef struct
{
  uint32_t waiting;      /* tasks that wait */
  uint32_t starts_per_s; /* tasks started per second */
  uint32_t places;       /* of the owners of which a wait is known */
  uint32_t owners;       /* number of these */
  double wait_sum;       /* their least waits times their places */
  mm_time_ms age_ms;     /* age of the oldest report */
} mm_overload_figures;

/* Adds an owner's report, which is @age_ms old, for one priority.  */
void mm_overload_figures_add (mm_overload_figures *f,
                              const mm_capacity_report *r, uint32_t priority,
                              mm_time_ms age_ms);
/* Returns the least wait, weighted by the places of the owners.  */
mm_time_ms mm_overload_figures_wait_ms (const mm_overload_figures *f);
/* Returns whether tasks wait for longer than @target_ms for want of capacity,
   so that the start rate is the capacity that is left to the priority.  */
bool mm_overload_figures_short (const mm_overload_figures *f,
                                mm_time_ms target_ms);

#endif /* MM_OVERLOAD_FIGURES_H */
