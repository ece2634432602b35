/* mm_overload_state: which priorities of which services are overloaded, as
   known at a home.  */
#ifndef MM_OVERLOAD_STATE_H
#define MM_OVERLOAD_STATE_H

#include "mm_overload_figures.h"

typedef struct mm_overload_state mm_overload_state;

/* @target_ms: least wait above which a priority is overloaded.  Free with
   mm_overload_state_destroy().  */
mm_overload_state *mm_overload_state_create (mm_time_ms target_ms);
void mm_overload_state_destroy (mm_overload_state *s);
/* Updates a priority of a service from the sums over the owners.  Logs when
   its overload begins and ends.  */
void mm_overload_state_update (mm_overload_state *s, const char *service,
                               uint32_t priority, const mm_overload_figures *f,
                               mm_time_ms now);
/* Records the number of tasks of a job that arrived.  */
void mm_overload_state_record_job (mm_overload_state *s, const char *service,
                                   uint32_t priority, uint32_t tasks);
/* Returns the number of tasks as which a job counts at least.  */
uint32_t mm_overload_state_least_tasks (const mm_overload_state *s,
                                        const char *service,
                                        uint32_t priority);
bool mm_overload_state_is_on (const mm_overload_state *s, const char *service,
                              uint32_t priority);
/* Returns whether tasks of the priority wait for want of capacity, so that
   their start rate is the capacity that is left to them.  */
bool mm_overload_state_is_short (const mm_overload_state *s,
                                 const char *service, uint32_t priority);
/* Returns since when the priority is overloaded, 0: it is not.  */
mm_time_ms mm_overload_state_since_ms (const mm_overload_state *s,
                                       const char *service, uint32_t priority);
/* Returns the number of services in which the priority is overloaded.  */
uint32_t mm_overload_state_count (const mm_overload_state *s,
                                  uint32_t priority);
/* Names of the services that were updated; free the list, not the names.  */
GList *mm_overload_state_services (const mm_overload_state *s);
/* Returns the state as a JSON array, for operators; free with free().  */
char *mm_overload_state_dump (const mm_overload_state *s, mm_time_ms now);

#endif /* MM_OVERLOAD_STATE_H */
