/* mm_owner_finder: links to the owners of upstreams that a task needs.

   An instance is linked to a bounded number of others.  A task that requires a
   label may run on upstreams whose owners are none of these.  */
#ifndef MM_OWNER_FINDER_H
#define MM_OWNER_FINDER_H

#include "mm_catalog.h"
#include "mm_mesh.h"

typedef struct mm_owner_finder mm_owner_finder;

/* What the finder asks; the pointers must outlive it.  */
typedef struct
{
  const mm_catalog *catalog; /* the upstream list */
  /* Returns the member name of the instance that owns an upstream, NULL when
     it is not known.  */
  const char *(*owner_of) (void *ctx, const mm_upstream_info *u);
  /* Returns whether the list is current and names every upstream.  */
  bool (*list_complete) (void *ctx);
  void *ctx;
} mm_owner_finder_port;

/* @self: member name of this instance; copied, as is @port.  @mesh must
   outlive the returned object.  Free with mm_owner_finder_destroy().  */
mm_owner_finder *mm_owner_finder_create (mm_mesh *mesh, const char *self,
                                         const mm_owner_finder_port *port);
void mm_owner_finder_destroy (mm_owner_finder *f);
/* Requires links to owners of upstreams that may run the task, to
   MM_OWNER_FINDER_LINKS of them at most.  For tasks with the same needs, a
   call within MM_OWNER_FINDER_PAUSE_MS of the last one does nothing.  */
void mm_owner_finder_find (mm_owner_finder *f, const mm_task_request *t);
/* Returns whether it is certain from the upstream list that none of the
   service's upstreams may run the task.  False while none of the service is
   listed: upstreams that crashed may be about to return.  */
bool mm_owner_finder_excludes (const mm_owner_finder *f,
                               const mm_task_request *t);
/* Returns whether the upstream list is needed for tasks that were searched an
   owner for within MM_OWNER_FINDER_LIST_MS.  */
bool mm_owner_finder_needs_list (const mm_owner_finder *f);

#endif /* MM_OWNER_FINDER_H */
