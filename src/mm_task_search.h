/* mm_task_search: searches for tasks of kept jobs at all owners of upstreams.

   A task whose owner or home was lost is in doubt: it may be running, may have
   ended, or may never have started.  It is started again only when the owner
   of every upstream has answered that the task does not run there.  */
#ifndef MM_TASK_SEARCH_H
#define MM_TASK_SEARCH_H

#include "mm_catalog.h"
#include "mm_mesh.h"

typedef struct mm_task_search mm_task_search;

/* Results of a search.  */
typedef struct
{
  /* The end of a run was found; @owner: the peer that reported it, NULL for
     this instance.  */
  void (*end) (void *ctx, const mm_found_end *e, const char *owner);
  /* None of @tasks runs anywhere, and no call to start one of them is in
     progress.  */
  void (*none_left) (void *ctx, GHashTable *tasks);
  void *ctx;
} mm_task_search_events;

/* The arguments must outlive the search, except @ev, which is copied.  */
mm_task_search *mm_task_search_create (mm_mesh *mesh, const mm_owner *owner,
                                       const mm_catalog *catalog,
                                       const mm_task_search_events *ev);
void mm_task_search_destroy (mm_task_search *s);
/* Whether a round is under way: answers are outstanding.  */
bool mm_task_search_busy (const mm_task_search *s);
/* Starts one round of requests; no round may be under way.  Takes @tasks, from
   mm_task_set_new().  @list_fresh: the catalog names every upstream that may
   run a task; otherwise the round can find ends, but not that no run is
   left.  */
void mm_task_search_start (mm_task_search *s, GHashTable *tasks,
                           bool list_fresh);

#endif /* MM_TASK_SEARCH_H */
