/* mm_ownership: the sessions that an instance should have.

   Brings the owner's sessions in line with the upstream list and with the
   partitions that are ours.  A session gets each change of its upstream's
   entry at once, whatever its partition is doing: a hand-over takes seconds,
   in which short tasks go on being started.  No network of its own.  */
#ifndef MM_OWNERSHIP_H
#define MM_OWNERSHIP_H

#include "mm_catalog.h"
#include "mm_owner.h"
#include "mm_shares.h"

typedef struct mm_ownership mm_ownership;

/* Whose an upstream is.  */
typedef struct
{
  mm_share_state (*of) (void *ctx, const mm_upstream_info *u, uint64_t *fence);
  void (*retake) (void *ctx, const mm_upstream_info *u); /* a newer token */
  uint64_t (*changes) (void *ctx);                       /* rises with each */
  bool (*any) (void *ctx); /* is any partition ours? */
  void *ctx;
} mm_ownership_shares;

mm_ownership *mm_ownership_create (mm_catalog *catalog, mm_owner *owner,
                                   const mm_ownership_shares *shares);
void mm_ownership_destroy (mm_ownership *w);
/* @list_fresh: the list was read since partitions became ours.  */
void mm_ownership_tick (mm_ownership *w, bool list_fresh);
/* Nothing runs on what is handed over there.  */
bool mm_ownership_quiet (const mm_ownership *w, const char *datacentre);

#endif /* MM_OWNERSHIP_H */
