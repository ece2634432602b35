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
/* Those of its tasks that may crash upstreams; must outlive it.  */
void mm_fleet_set_suspects (mm_fleet *f, mm_suspects *s);
mm_suspect_action mm_fleet_decide (const mm_fleet *f, const mm_task_id *task);
/* Its job fails for it: logged, with the upstreams that crashed.  */
void mm_fleet_note_given_up (const mm_fleet *f, const mm_task_id *task);
/* For a job of this priority.  */
mm_load mm_fleet_load (const mm_fleet *f, const char *service,
                       uint32_t priority);
mm_ticket *mm_fleet_submit (mm_fleet *f, const mm_task_request *t,
                            const char *returned_by, mm_work_done done,
                            void *ctx);           /* NULL: no owner */
void mm_fleet_cancel (mm_fleet *f, mm_ticket *t); /* @done is not called */

#endif /* MM_FLEET_H */
