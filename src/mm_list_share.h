/* mm_list_share: instances read the upstream list for one another.

   Answers the load of hundreds of instances and a thousand upstreams, each of
   which writes to the list every second or two: if every instance reads all
   of it, the store sends its whole answer hundreds of times, and on a thin
   link the answers hold up orders to upstreams.  So one instance reads at a
   time and passes on what changed, over the links there are.

   The order in which linked instances read follows from their names and the
   number of the round; each waits MM_LIST_PLACE_MS longer than the one before.
   If the first is gone, cut off, or turned away by the store, the next one
   reads.  So nobody's view is older than MM_LIST_POLL_MS and
   MM_LIST_PLACES_MAX such waits, whoever dies: an upstream that leaves gets no
   start later than that.  */
#ifndef MM_LIST_SHARE_H
#define MM_LIST_SHARE_H

#include "mm_catalog.h"
#include "mm_mesh.h"
#include "mm_stream.h"

typedef struct mm_list_share mm_list_share;

typedef void (*mm_list_changed) (void *ctx);

mm_list_share *mm_list_share_create (const mm_store_port *port,
                                     mm_catalog *catalog, mm_mesh *mesh,
                                     const char *self, mm_list_changed changed,
                                     void *ctx);
void mm_list_share_destroy (mm_list_share *l);
/* The stream of the list, to be ticked or paused.  */
mm_stream *mm_list_share_stream (const mm_list_share *l);

void mm_list_share_tick (mm_list_share *l);
/* Is there no upstream that the list does not name?  Entries lapse while the
   store is out of reach, and are back some time after: an instance that read
   the list for the first time just then knows nothing of those.  */
bool mm_list_share_complete (const mm_list_share *l);

/* How many of the linked instances read before us in this round?  */
uint32_t mm_list_place (const char *self, GList *linked, uint64_t round);

#endif /* MM_LIST_SHARE_H */
