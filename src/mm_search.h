/* mm_search: look for tasks of kept jobs at all owners of upstreams.

   A task whose owner, or home, was lost may be running, may have ended, or
   may never have started.  It is started again only when every upstream's
   owner has told that it does not run there.  */
#ifndef MM_SEARCH_H
#define MM_SEARCH_H

#include "mm_catalog.h"
#include "mm_mesh.h"

typedef struct mm_search mm_search;

typedef struct
{
  /* A run of one of them has ended; @owner: the peer that told, or NULL.  */
  void (*end) (void *ctx, const mm_found_end *e, const char *owner);
  /* None of @tasks runs anywhere, nor will by an earlier order.  */
  void (*none_left) (void *ctx, GHashTable *tasks);
  void *ctx;
} mm_search_events;

mm_search *mm_search_create (mm_mesh *mesh, const mm_owner *owner,
                             const mm_catalog *catalog,
                             const mm_search_events *ev);
void mm_search_destroy (mm_search *s);
bool mm_search_busy (const mm_search *s); /* answers are outstanding */
/* Ask once; takes @tasks (mm_task_set_new).  @list_fresh: the catalog names
   every upstream that may run something.  */
void mm_search_begin (mm_search *s, GHashTable *tasks, bool list_fresh);

#endif /* MM_SEARCH_H */
