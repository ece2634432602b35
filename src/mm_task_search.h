/* mm_task_search: searches for tasks of kept jobs at all owners of upstreams.

   A task whose owner or home was lost is in doubt: it may be running, may have
   ended, or may never have started.  It is started again only when the owner
   of every upstream has answered that it does not run there.  */
#ifndef MM_TASK_SEARCH_H
#define MM_TASK_SEARCH_H

#include "mm_catalog.h"
#include "mm_mesh.h"

typedef struct mm_task_search mm_task_search;

typedef struct
{
  /* The end of a run was found; @owner: the peer that reported it, NULL for
     this instance.  */
  void (*end) (void *ctx, const mm_found_end *e, const char *owner);
  /* None of @tasks runs anywhere, and none will be started by an earlier
     order.  */
  void (*none_left) (void *ctx, GHashTable *tasks);
  void *ctx;
} mm_task_search_events;

mm_task_search *mm_task_search_create (mm_mesh *mesh, const mm_owner *owner,
                                       const mm_catalog *catalog,
                                       const mm_task_search_events *ev);
void mm_task_search_destroy (mm_task_search *s);
/* Whether a round is under way: answers are outstanding.  */
bool mm_task_search_busy (const mm_task_search *s);
/* Starts one round of requests; takes @tasks (mm_task_set_new).  @list_fresh:
   the catalog names every upstream that may run a task.  */
void mm_task_search_start (mm_task_search *s, GHashTable *tasks,
                           bool list_fresh);

#endif /* MM_TASK_SEARCH_H */
