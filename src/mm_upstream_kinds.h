/* mm_upstream_kinds: the kinds of upstreams that an owner has.

   Upstreams of one kind have the same service, labels and capacity.  Reports
   of free capacity do not tell whether a task may run there: it may need a
   label, or more memory or GPUs than any upstream of that owner has.  */
#ifndef MM_UPSTREAM_KINDS_H
#define MM_UPSTREAM_KINDS_H

#include "mm_upstream_info.h"

struct msgpack_packer;
struct msgpack_object;

/* More kinds, or more labels of one kind, are not valid in a message.  */
#define MM_UPSTREAM_KINDS_MAX 4096u

typedef struct mm_upstream_kinds mm_upstream_kinds;

mm_upstream_kinds *mm_upstream_kinds_create (void);
void mm_upstream_kinds_destroy (mm_upstream_kinds *kinds);
/* Adds the kind of an upstream, unless it is there already.  */
void mm_upstream_kinds_add (mm_upstream_kinds *kinds,
                            const mm_upstream_info *u);
/* Returns whether upstreams of any of the kinds may run a task.  */
bool mm_upstream_kinds_any_suits (const mm_upstream_kinds *kinds,
                                  const mm_task_request *t);
/* Packs the kinds as one value.  */
void mm_upstream_kinds_pack (const mm_upstream_kinds *kinds,
                             struct msgpack_packer *pk);
/* Returns kinds that were packed, NULL when the value is not valid.  */
mm_upstream_kinds *mm_upstream_kinds_read (const struct msgpack_object *o);

#endif /* MM_UPSTREAM_KINDS_H */
