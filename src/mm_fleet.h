/* mm_fleet: all owners of upstreams, this instance among them.  */
#ifndef MM_FLEET_H
#define MM_FLEET_H

#include "mm_admission.h"
#include "mm_mesh.h"

typedef struct mm_fleet mm_fleet;
typedef struct mm_ticket mm_ticket; /* a task handed to some owner */

mm_fleet *mm_fleet_create (mm_owner *owner, mm_mesh *mesh,
                           const char *datacentre);
void mm_fleet_destroy (mm_fleet *f);
/* For a job of this priority.  */
mm_load mm_fleet_load (const mm_fleet *f, const char *service,
                       uint32_t priority);
mm_ticket *mm_fleet_submit (mm_fleet *f, const mm_task_request *t,
                            const char *gave_back, mm_work_done done,
                            void *ctx);           /* NULL: no owner */
void mm_fleet_cancel (mm_fleet *f, mm_ticket *t); /* @done is not called */

#endif /* MM_FLEET_H */
