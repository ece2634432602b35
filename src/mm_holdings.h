/* mm_holdings: the data centres whose upstreams this instance shares in.

   Its own, always.  Another one while none of that one's own instances is
   left: killed, stopped or being replaced, they would leave a quarter of
   all upstreams idle.  */
#ifndef MM_HOLDINGS_H
#define MM_HOLDINGS_H

#include "mm_mesh.h"
#include "mm_shares.h"

typedef struct mm_holdings mm_holdings;

typedef struct
{
  /* Does nothing run any more on what is leaving in a data centre?  */
  bool (*quiet) (void *ctx, const char *datacentre);
  /* The store has dealt out anew what is held.  */
  void (*changed) (void *ctx);
  void *ctx;
} mm_holdings_events;

mm_holdings *mm_holdings_create (const mm_store_port *port, mm_mesh *mesh,
                                 char *const *datacentres, const char *own,
                                 const char *member, uint32_t parts,
                                 const mm_holdings_events *ev);
void mm_holdings_destroy (mm_holdings *h);
void mm_holdings_tick (mm_holdings *h);
mm_share_state mm_holdings_of (const mm_holdings *h, const mm_upstream_info *u,
                               uint64_t *fence);
void mm_holdings_retake (mm_holdings *h, const mm_upstream_info *u);
/* Serve on until somebody who stays can take over what is ours, or until
   @give_up_ms, and then let go of it once it is quiet.  Without any other
   instance, there is nobody to wait for after @alone_ms.  */
void mm_holdings_leave (mm_holdings *h, mm_time_ms alone_ms,
                        mm_time_ms give_up_ms);
/* Partitions of this group can be taken: ask the store at once.  */
void mm_holdings_hurry (mm_holdings *h, const char *group);
bool mm_holdings_left (const mm_holdings *h);
bool mm_holdings_any (const mm_holdings *h); /* is any partition ours? */
/* Membership in all of them is confirmed, so that nobody else owns any.  */
bool mm_holdings_sure (const mm_holdings *h);
/* Rises whenever whose an upstream is may have changed.  */
uint64_t mm_holdings_changes (const mm_holdings *h);
uint64_t mm_holdings_generation (const mm_holdings *h); /* of all, summed */

#endif /* MM_HOLDINGS_H */
