/* mm_list_share: instances share the work of reading the upstream list.

   There may be hundreds of instances and a thousand upstreams, each of which
   writes to the list every second or two.  If every instance read all of the
   list, the store would send its complete answer hundreds of times, and on a
   slow link these answers would delay the calls to upstreams.  So one instance
   reads at a time and sends the changes to the others over the mesh.

   The order in which linked instances read follows from their names and the
   number of the round; each waits MM_LIST_RANK_DELAY_MS longer than the one
   before.  If the first instance is dead, disconnected, or refused by the
   store, the next one reads.  So whichever instance dies, no instance's view
   is older than MM_LIST_POLL_MS plus MM_LIST_RANK_MAX times
   MM_LIST_RANK_DELAY_MS, and an upstream that is draining gets no start later
   than that.  */
#ifndef MM_LIST_SHARE_H
#define MM_LIST_SHARE_H

#include "mm_catalog.h"
#include "mm_mesh.h"
#include "mm_stream.h"

typedef struct mm_list_share mm_list_share;

/* Called after a full read of the list, and when the update of a peer has
   changed the catalog; not after own reads of changes.  */
typedef void (*mm_list_changed) (void *ctx);

/* Follows the upstream list together with the other instances, and fills
   @catalog.  @catalog and @mesh must outlive the returned object; free with
   mm_list_share_destroy().  */
mm_list_share *mm_list_share_create (const mm_store_port *port,
                                     mm_catalog *catalog, mm_mesh *mesh,
                                     const char *self, mm_list_changed changed,
                                     void *ctx);
void mm_list_share_destroy (mm_list_share *l);
/* Returns the stream of the list; the caller calls mm_stream_tick() or
   mm_stream_pause() for it.  */
mm_stream *mm_list_share_stream (const mm_list_share *l);

/* Updates what mm_list_share_complete() returns.  Must be called every
   MM_EXEC_TICK_MS.  */
void mm_list_share_tick (mm_list_share *l);
/* Returns whether the list that is known here names every upstream.  Entries
   expire while the store is unreachable, and upstreams write them again some
   time after.  An instance that first read the list in between does not know
   the upstreams whose entries had expired.  */
bool mm_list_share_complete (const mm_list_share *l);

/* Returns how many of @peers, the names of the linked instances, read before
   @self in this round, MM_LIST_RANK_MAX at most.  */
uint32_t mm_list_read_rank (const char *self, GList *peers, uint64_t round);

#endif /* MM_LIST_SHARE_H */
