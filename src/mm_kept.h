/* mm_kept: jobs that are stored before their callers are told so, and go on
   whatever instance dies.

   Each job has one home at a time: the instance that holds its partition in
   the group MM_JOBS_GROUP.  Any instance takes a caller's request and passes
   it on.  The home stores the job under the generation at which the
   partition came to it, so that an earlier home's word is refused.  */
#ifndef MM_KEPT_H
#define MM_KEPT_H

#include "mm_catalog.h"
#include "mm_kept_wire.h"
#include "mm_predecessors.h"

typedef struct mm_kept mm_kept;

typedef void (*mm_kept_told) (void *ctx, const mm_kept_answer *a);

/* What it works with; all outlive it.  */
typedef struct
{
  mm_store_port store;
  mm_mesh *mesh;
  mm_fleet *fleet;
  mm_owner *owner;
  const mm_catalog *catalog;
  mm_predecessors *predecessors;
  const char *member; /* our name in groups */
  uint32_t parts;
} mm_kept_parts;

mm_kept *mm_kept_create (const mm_kept_parts *p);
void mm_kept_destroy (mm_kept *k);
/* Each is answered once, now or later.  */
void mm_kept_submit (mm_kept *k, mm_submission *s /* taken */,
                     const mm_route *route, mm_kept_told told, void *ctx);
void mm_kept_state (mm_kept *k, const char *job_id, mm_kept_told told,
                    void *ctx);
void mm_kept_cancel (mm_kept *k, const char *job_id, mm_kept_told told,
                     void *ctx);
void mm_kept_pending (mm_kept *k, const char *queue, mm_kept_told told,
                      void *ctx);
void mm_kept_tick (mm_kept *k, bool list_fresh); /* each MM_EXEC_TICK_MS */
bool mm_kept_needs_list (const mm_kept *k);      /* of all upstreams */
void mm_kept_leave (mm_kept *k); /* hand all over, once nothing runs */
bool mm_kept_left (const mm_kept *k);
uint32_t mm_kept_open (const mm_kept *k); /* jobs here that are not over */

#endif /* MM_KEPT_H */
