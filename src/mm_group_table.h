/* mm_group_table: one group of the store, as the store keeps it.  Used by
   the platform stand-in and by tests.

   Partitions are assigned evenly to the members.  Each change of an assignment
   increments the generation of the group.  A partition moves in two steps.
   First it is no longer listed for its holder.  Then the next member becomes
   its holder, but not before the previous holder has joined with the
   generation of the first step, has left, or has sent no join for its ttl:
   until then the previous holder may still use the partition.  The caller
   passes the time in.  */
#ifndef MM_GROUP_TABLE_H
#define MM_GROUP_TABLE_H

#include "masticmill.h"

typedef struct mm_group_table mm_group_table;

/* Creates a group without members, at generation 0.  Return: the group; free
   it with mm_group_table_destroy().  */
mm_group_table *mm_group_table_create (uint32_t n_partitions);
void mm_group_table_destroy (mm_group_table *g);
/* Adds a member or renews its membership for @ttl_ms; @generation is the
   newest that the member has seen.  Return: the generation after the call.  */
uint64_t mm_group_table_join (mm_group_table *g, const char *member,
                              uint64_t generation, mm_time_ms ttl_ms,
                              mm_time_ms now_ms);
/* Removes a member; the partitions that it held pass to others at once.  */
void mm_group_table_leave (mm_group_table *g, const char *member);
/* Removes the members whose ttl has passed, as if they had left.  */
void mm_group_table_step (mm_group_table *g, mm_time_ms now_ms);
/* Simulates a fault: reassigns all partitions at once, without waiting for
   their holders to release them.  */
void mm_group_table_reassign_all (mm_group_table *g);
/* Returns the name of the member that holds the partition at @index, or NULL
   while it has no holder or is moving to another member.  */
const char *mm_group_table_holder (const mm_group_table *g, uint32_t index);
uint32_t mm_group_table_partition_count (const mm_group_table *g);
uint64_t mm_group_table_generation (const mm_group_table *g);

#endif /* MM_GROUP_TABLE_H */
